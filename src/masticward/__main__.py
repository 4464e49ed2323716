"""Entry point of ``python -m masticward``."""

import masticward.cli.main

if __name__ == "__main__":
    masticward.cli.main.main()
