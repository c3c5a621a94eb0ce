"""Compare the placement index with first fit and random placement; print results as JSON.

Equivalent to ``rhubarbferry bench placement --profile aim``.

Run: python -m bench.placement [--seed N] [--steps N]
"""

from __future__ import annotations

import argparse
import json

from rhubarbferry.bench.placement import experiment
from rhubarbferry.bench.profiles import PROFILES


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--steps", type=int, default=1000)
    args = parser.parse_args()
    print(json.dumps(experiment(PROFILES["aim"], seed=args.seed, steps=args.steps), indent=1))


if __name__ == "__main__":
    main()
