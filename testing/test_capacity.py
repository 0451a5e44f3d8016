"""The capacity page agrees with the measured data."""

import json

from bench import capacity


def test_page_and_data_agree() -> None:
    text = capacity.PAGE.read_text()
    data = json.loads(capacity.DATA.read_text())
    assert capacity.page(text, data) == text


def test_changed_figure_changes_the_page() -> None:
    text = capacity.PAGE.read_text()
    data = json.loads(capacity.DATA.read_text())
    data["turn_entry_control"] *= 2
    assert capacity.page(text, data) != text
