"""A relay that delivers messages to partner systems over HTTP; the package ``starlingwick`` makes its decisions."""
