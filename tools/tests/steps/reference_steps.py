from __future__ import annotations

import re

from behave import given, then

from tools import reference


@given("the page for operators")
def read_operators_page(context):
    context.page = reference.OPERATORS_PAGE.read_text()


@then("its tables are those of the code")
def check_tables(context):
    assert reference.page_with_tables(context.page) == context.page, "run python -m tools.reference"


@then("it has the tables {names}")
def check_table_names(context, names):
    assert sorted(re.findall(r"<!-- table (\w+) -->", context.page)) == sorted(names.split(", "))


@given("the page of guarantees")
def read_guarantees(context):
    context.page = reference.GUARANTEES_PAGE.read_text()


@then("each invariant's table has at least one scenario")
def check_scenarios(context):
    names = re.findall(r"<!-- table (scenarios-[\w-]+) -->", context.page)
    assert len(names) == 10, names
    empty = [name for name in names if reference.markdown_table(name).count("\n") < 3]
    assert not empty, empty


@given("the glossary")
def read_glossary(context):
    page = (reference.OPERATORS_PAGE.parent / "glossary.md").read_text()
    parts = re.split(r"^## .*$", page, flags=re.MULTILINE)[1:]
    rows = [re.findall(r"^\| (.+?) \| (.+?) \|", part, flags=re.MULTILINE)[1:] for part in parts]
    context.by_word = {term for _, term in rows[0]}
    context.by_term = {term for term, _ in rows[1]}


@then("it explains each of: {terms}")
def check_terms(context, terms):
    assert set(terms.split(", ")) <= context.by_term, context.by_term


@then("both directions name the same terms")
def check_directions(context):
    assert context.by_word == context.by_term, context.by_word ^ context.by_term
