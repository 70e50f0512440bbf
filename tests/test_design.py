"""The example of docs/design/core.md is run as it stands."""

import re

from bench.capacity import ROOT


def test_the_example_of_the_core_runs() -> None:
    text = (ROOT / "docs/design/core.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert len(example.splitlines()) <= 20
    exec(compile(example, "core.md", "exec"), {})
