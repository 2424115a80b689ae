"""`python -m garnetrelay.cli`: the `garnetrelay` command where its script is not installed."""

from garnetrelay.cli import main

if __name__ == "__main__":
    main()
