"""`python -m garnetrelay.cli`: the `garnetrelay` command without an installed script."""

from garnetrelay.cli import main

if __name__ == "__main__":
    main()
