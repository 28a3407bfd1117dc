#!/usr/bin/env python3
"""Breaks one mechanism after the other in a copy of the tree and sees its proof fail.

Usage: breaks.py [NAME-PART ...]

A break that its proof does not notice is a proof that proves nothing: the exit
code is then non-zero. See testing/breaks.json for the breaks.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SEED = "seed=20261204 max_success=300"
PROOF_LIMIT = 240  # seconds


def edit(folder, change):
    path = os.path.join(folder, change["file"])
    with open(path, encoding="utf-8") as source:
        text = source.read()
    if change["from"] not in text:
        raise SystemExit(f"{change['file']} no longer holds: {change['from']}")
    with open(path, "w", encoding="utf-8") as target:
        target.write(text.replace(change["from"], change["to"], 1))
    return path, text


def targets(proof):
    """What a proof runs."""
    if proof[0].startswith("build/"):
        return [proof[0].removeprefix("build/")]
    return ["bamboogapd", "bamboogapctl", "fakeendpoint"]


def build(folder, names):
    done = subprocess.run(["cmake", "--build", "build", "--target", *names], cwd=folder,
                          capture_output=True, text=True, check=False)
    return done.returncode == 0, done.stdout[-2000:]


def proof_fails(folder, proof):
    environment = dict(os.environ, RC_PARAMS=SEED)
    try:
        done = subprocess.run(proof, cwd=folder, capture_output=True, text=True,
                              env=environment, timeout=PROOF_LIMIT, check=False)
    except subprocess.TimeoutExpired:
        return True
    return done.returncode != 0


def main():
    with open(os.path.join(TOP, "testing", "breaks.json"), encoding="utf-8") as source:
        breaks = json.load(source)
    wanted = sys.argv[1:]
    chosen = [item for item in breaks
              if not wanted or any(part in item["name"] for part in wanted)]
    folder = tempfile.mkdtemp(prefix="bamboogap-breaks-")
    unnoticed = []
    try:
        files = subprocess.run(["git", "ls-files", "-z"], cwd=TOP, capture_output=True,
                               text=True, check=True).stdout.split("\0")
        for name in filter(None, files):
            target = os.path.join(folder, name)
            os.makedirs(os.path.dirname(target), exist_ok=True)
            shutil.copy2(os.path.join(TOP, name), target)
        subprocess.run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja", "-DCMAKE_CXX_FLAGS=-w"], cwd=folder,
                       capture_output=True, check=True)
        wanted_targets = {name for item in chosen for name in targets(item["proof"])}
        good, output = build(folder, sorted(wanted_targets))
        if not good:
            raise SystemExit(output)
        for item in chosen:
            saved = [edit(folder, change) for change in [item, *item.get("more", [])]]
            good, output = build(folder, targets(item["proof"]))
            noticed = good and proof_fails(folder, item["proof"])
            for path, text in saved:
                with open(path, "w", encoding="utf-8") as target:
                    target.write(text)
            verdict = "red" if noticed else "NOT NOTICED" if good else "does not build"
            print(f"{verdict:12} promise {item['promise']}: {item['name']}", flush=True)
            if not noticed:
                unnoticed.append(item["name"])
                if not good:
                    print(output)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"{len(chosen) - len(unnoticed)} of {len(chosen)} breaks are seen red")
    return 1 if unnoticed else 0


if __name__ == "__main__":
    sys.exit(main())
