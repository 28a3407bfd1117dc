#!/usr/bin/env python3
"""Mutation tests: applies one mutation at a time to a copy of the tree and runs its test.

Usage: breaks.py [NAME-PART ...]

Each mutation of testing/breaks.json disables one mechanism, and its test must fail. If a
test passes under its mutation, or a mutation does not build, the exit code is non-zero.
"""

import json
import os
import shutil
import subprocess
import sys
import tempfile

TOP = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SEED = "seed=20261204 max_success=300"
TEST_TIMEOUT_S = 240


def apply_change(folder, change):
    path = os.path.join(folder, change["file"])
    with open(path, encoding="utf-8") as source:
        text = source.read()
    if change["from"] not in text:
        raise SystemExit(f"{change['file']} does not contain the line to mutate: {change['from']}")
    with open(path, "w", encoding="utf-8") as target:
        target.write(text.replace(change["from"], change["to"], 1))
    return path, text


def build_targets(test_command):
    """The build targets that a test command needs."""
    if test_command[0].startswith("build/"):
        return [test_command[0].removeprefix("build/")]
    return ["bamboogapd", "bamboogapctl", "fakeendpoint"]


def build_tree(folder, names):
    completed = subprocess.run(["cmake", "--build", "build", "--target", *names], cwd=folder,
                               capture_output=True, text=True, check=False)
    return completed.returncode == 0, completed.stdout[-2000:]


def test_fails(folder, test_command):
    environment = dict(os.environ, RC_PARAMS=SEED)
    try:
        completed = subprocess.run(test_command, cwd=folder, capture_output=True, text=True,
                                   env=environment, timeout=TEST_TIMEOUT_S, check=False)
    except subprocess.TimeoutExpired:
        return True
    return completed.returncode != 0


def main():
    with open(os.path.join(TOP, "testing", "breaks.json"), encoding="utf-8") as source:
        mutations = json.load(source)
    name_parts = sys.argv[1:]
    selected = [mutation for mutation in mutations
                if not name_parts or any(part in mutation["name"] for part in name_parts)]
    folder = tempfile.mkdtemp(prefix="bamboogap-breaks-")
    undetected = []
    try:
        files = subprocess.run(["git", "ls-files", "-z"], cwd=TOP, capture_output=True,
                               text=True, check=True).stdout.split("\0")
        for name in filter(None, files):
            target = os.path.join(folder, name)
            os.makedirs(os.path.dirname(target), exist_ok=True)
            shutil.copy2(os.path.join(TOP, name), target)
        subprocess.run(["cmake", "-S", ".", "-B", "build", "-G", "Ninja",
                        "-DCMAKE_CXX_FLAGS=-w"], cwd=folder,
                       capture_output=True, check=True)
        selected_targets = {name for mutation in selected
                            for name in build_targets(mutation["proof"])}
        built, output = build_tree(folder, sorted(selected_targets))
        if not built:
            raise SystemExit(output)
        for mutation in selected:
            originals = [apply_change(folder, change)
                         for change in [mutation, *mutation.get("more", [])]]
            built, output = build_tree(folder, build_targets(mutation["proof"]))
            detected = built and test_fails(folder, mutation["proof"])
            for path, text in originals:
                with open(path, "w", encoding="utf-8") as target:
                    target.write(text)
            test_result = "detected" if detected else "NOT DETECTED" if built else "does not build"
            print(f"{test_result:12} promise {mutation['promise']}: {mutation['name']}", flush=True)
            if not detected:
                undetected.append(mutation["name"])
                if not built:
                    print(output)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    print(f"{len(selected) - len(undetected)} of {len(selected)} mutations were detected")
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
