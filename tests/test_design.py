"""The example of docs/design/core.md must run as it is printed."""

import re

from bench.capacity import ROOT


def test_example_in_the_core_design_page_runs() -> None:
    """The core's API changes and the page does not."""
    text = (ROOT / "docs/design/core.md").read_text()
    (example,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert len(example.splitlines()) <= 20
    exec(compile(example, "core.md", "exec"), {})
