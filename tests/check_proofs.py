"""Checks that every test that docs/PROOFS.md names exists in ctest -N."""

import re
import subprocess
import sys


def main(page, build):
    listing = subprocess.run(["ctest", "--test-dir", build, "-N"], capture_output=True, text=True, check=True).stdout
    known = set(re.findall(r"Test +#\d+: (\S+)", listing))
    with open(page, encoding="utf-8") as text:
        named = set(re.findall(r"`([a-z]+\.[A-Za-z_.0-9]+)`", text.read()))
    missing = sorted(named - known)
    for name in missing:
        print(f"{page} names {name}, which is not a test")
    print(f"{len(named)} tests named, {len(missing)} missing")
    return 1 if missing or not named else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
