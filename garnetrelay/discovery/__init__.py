"""Who the endpoints are."""
