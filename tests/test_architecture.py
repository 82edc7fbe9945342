"""Names of files, classes, functions and log lines on the architecture page exist in the program."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "message_sender"
PAGE = (ROOT / "docs" / "architecture.md").read_text()
SPAN = re.compile(r"`([^`]+)`")
PATH = re.compile(r"(message_sender|tests)/[\w/.]*")
CLASS_OR_MEMBER = re.compile(r"[A-Z][a-z]\w*(\.\w+)?")
FUNCTION = re.compile(r"[a-z]+(_[a-z]+)+")


def spans(text: str) -> set[str]:
    """The code spans of a Markdown text."""
    return set(SPAN.findall(text))


def log_section() -> str:
    """The table of symptoms."""
    return PAGE.split("## At three in the morning")[1].split("\n## ")[0]


def defined_names() -> set[str]:
    """Classes, functions, and the members of classes as `Class.member`, in the whole package."""
    names = set()
    for file in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.ClassDef):
                names |= {node.name} | {f"{node.name}.{member}" for member in members(node)}
            elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                names.add(node.name)
    return names


def members(node: ast.ClassDef) -> set[str]:
    """Methods and annotated fields of a class."""
    names = set()
    for child in node.body:
        if isinstance(child, ast.FunctionDef | ast.AsyncFunctionDef):
            names.add(child.name)
        elif isinstance(child, ast.AnnAssign) and isinstance(child.target, ast.Name):
            names.add(child.target.id)
    return names


def string_constants() -> str:
    """All string constants of the package, one to a line."""
    lines = []
    for file in PACKAGE.rglob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                lines.append(node.value)
    return "\n".join(lines)


def test_files_on_the_page_exist() -> None:
    paths = {span for span in spans(PAGE) if PATH.fullmatch(span)}
    assert len(paths) > 40
    assert not {path for path in paths if not (ROOT / path).exists()}


def test_each_package_is_on_the_page() -> None:
    packages = {f"message_sender/{path.parent.name}/" for path in PACKAGE.glob("*/__init__.py")}
    assert packages and not packages - spans(PAGE)


def test_classes_and_functions_on_the_page_exist() -> None:
    names = {span for span in spans(PAGE) if CLASS_OR_MEMBER.fullmatch(span) or FUNCTION.fullmatch(span)}
    assert len(names) > 40
    assert not names - defined_names()


def test_links_of_the_page_lead_somewhere() -> None:
    targets = re.findall(r"\]\(([^)#]+)\)", PAGE)
    assert targets and all((ROOT / "docs" / target).exists() for target in targets)


def test_log_lines_on_the_page_exist() -> None:
    lines = {
        span for span in spans(log_section()) if not PATH.fullmatch(span) and "message-sender" not in span
    }
    texts = string_constants()
    assert len(lines) > 15
    assert not {line for line in lines if line not in texts}


def test_state_files_on_the_page_exist() -> None:
    section = PAGE.split("## Who owns which state")[1].split("\n## ")[0]
    cells = [line.split("|")[4] for line in section.splitlines() if line.count("|") == 5][2:]
    files = set().union(*(spans(cell) for cell in cells))
    texts = string_constants().split("\n")
    assert len(files) > 8 and not files - set(texts)
