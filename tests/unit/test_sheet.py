import pytest

from rosemarystream._internal.exceptions import SheetError
from rosemarystream._internal.operators.sheet import compare_sheets, parse_sheet
from standins.sheets import write_sheet


def test_all_sections_of_a_sheet_are_parsed():
    recalls = (("r1", "model", "lm@9"),)
    sheet = parse_sheet(write_sheet(recalls=recalls), operator="ada")
    assert [rank.name for rank in sheet.ranks] == ["urgent", "standard", "routine"]
    assert sheet.pools[0].load_multiple == 2.0
    assert sheet.recalls[0].operator == "ada"


@pytest.mark.parametrize(
    ("old", "new", "line", "column", "words"),
    [
        ("urgent,1,0,330", "urgent,x,0,330", 3, 2, "whole number"),
        ("lm,model,lm,1,2.0", "lm,model,lm,1,0.5", 9, 5, "number from 1 to 100"),
        ("lm,model,lm,1,2.0", "lm,model,,1,2.0", 9, 3, "needs a model"),
        ("ledger,service", "lm,service", 10, 1, "is already on line 9"),
        ("depot,", "de pot,", 14, 1, "must be a name"),
        (",urgent,1\n", ",late,1\n", 14, 3, "not on the sheet"),
        ("standard,2,0.2", "standard,2,0.95", 3, 3, "add up to more than 1"),
        ("[pools]", "[pool]", 7, 1, "unknown section"),
        ("ledger,service,", "ledger,", 10, 6, "header has 7"),
    ],
)
def test_each_mistake_is_reported_with_line_and_column(old, new, line, column, words):
    text = write_sheet()
    assert old in text
    with pytest.raises(SheetError) as caught:
        parse_sheet(text.replace(old, new), operator="ada")
    places = [x for x in str(caught.value).splitlines() if words in x]
    assert any(x.startswith(f"line {line}, column {column}:") for x in places), (
        caught.value
    )


def test_all_mistakes_of_a_sheet_are_reported_at_once():
    text = write_sheet().replace("urgent,1,0,330", "urgent,x,0,y").replace("yes", "?")
    with pytest.raises(SheetError) as caught:
        parse_sheet(text, operator="ada")
    assert len(str(caught.value).splitlines()) >= 3


def test_a_sheet_without_a_recall_does_not_lift_it():
    current = parse_sheet(write_sheet(recalls=(("r1", "server", "e1"),)), operator="a")
    wanted = parse_sheet(write_sheet(workspaces=("depot",)), operator="a")
    changes = compare_sheets(current, wanted)
    assert [tuple(change) for change in changes] == [
        ("workspaces", "members", "remove")
    ]


def test_thousands_of_rows_are_parsed():
    names = tuple(f"space{number}" for number in range(5_000))
    assert len(parse_sheet(write_sheet(workspaces=names), operator="a").workspaces) == (
        5_000
    )
