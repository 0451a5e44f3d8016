"""Layering and import rules of the source tree."""

import ast
from collections.abc import Iterator
import graphlib
import pathlib
import re

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "mintcleat"

# Packages of this project that each package may import. `main` composes the
# programs and may import all of them.
ALLOWED = {
    "domain": {"domain"},
    "ports": {"domain", "ports"},
    "decisions": {"domain", "decisions"},
    "programs": {"domain", "programs"},
    "consensus": {"domain", "consensus"},
    "configuration": {"domain", "configuration"},
    "roles": {
        "domain",
        "ports",
        "decisions",
        "programs",
        "consensus",
        "configuration",
        "roles",
    },
    "adapters": {"domain", "ports", "adapters"},
    "standins": {"domain", "ports", "standins"},
    "load": {"domain", "ports", "load"},
    "platform": {"domain", "ports", "adapters", "platform"},
}
# Names of the platform's protocol, which only its package may use.
PLATFORM = SOURCE / "platform"
PLATFORM_NAMES = re.compile(
    r"x-(?:deadline-milliseconds|affinity-key|program-id"
    r"|session-id|finish-milliseconds|token-budget|token-counts|model"
    r"|prompt-prefix|previous-turn|expect-instance|expect-version"
    r"|request-urgency|not-executed|response-signature|hold|kv-backup"
    r"|pin-milliseconds|instance-id)|kv-from|kv-fetch"
    r"|instances\.heartbeat|instances\.leave|configuration\.put"
    r"|configuration\.get|retire\.start|retire\.get|v1/readiness"
    r"|coldremainingms|targetgapms|targetlatencyms|timeoutms|retaincontext"
    r"|retentions\b|pathprefix|tolerancecounted|internalportrange"
    r"|machineclass|mintcleat_config|seedlags|drainms|graces\b"
    r"|api-key\b|x-tenant|apikeys|ratepers|strictrevocation|revokems"
    r"|quotawindow|quotaoverage|quotaslack"
    r"|v1/kv-|kvtokenbytes|linkmbps|kvcapacitytokens",
    re.IGNORECASE,
)
# Modules that may import that package: the composition root for machines of
# the platform.
PLATFORM_USERS = {"hosted.py", "hosted_control.py", "hosted_entry.py"}
NAME_MODULES = {"typing", "collections.abc", "__future__"}


def module_files() -> list[pathlib.Path]:
    return sorted(SOURCE.rglob("*.py"))


def imports_of(path: pathlib.Path) -> Iterator[tuple[str, str]]:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom):
            for alias in node.names:
                yield node.module or "", alias.name
        elif isinstance(node, ast.Import):
            for alias in node.names:
                yield alias.name, ""


def is_module(module: str, name: str) -> bool:
    parts = module.split(".")[1:]
    base = SOURCE.joinpath(*parts, name)
    return base.is_dir() or base.with_suffix(".py").exists()


def test_imports_point_inward() -> None:
    wrong = []
    for path in module_files():
        package = path.relative_to(SOURCE).parts[0]
        if package not in ALLOWED:
            continue
        for module, name in imports_of(path):
            parts = (*module.split("."), name)
            if parts[0] != "mintcleat":
                continue
            if parts[1] not in ALLOWED[package]:
                wrong.append(f"{path.name}: {module}.{name}")
    assert wrong == []


def test_no_import_cycles() -> None:
    # Modules in a cycle can't be read or changed separately. Imports for
    # annotations count too.
    graph = {
        _name_of(path): {
            f"{module}.{name}"
            for module, name in imports_of(path)
            if module.startswith("mintcleat")
        }
        for path in module_files()
    }
    sorter = graphlib.TopologicalSorter(graph)
    try:
        sorter.prepare()
    except graphlib.CycleError as error:
        raise AssertionError(" imports ".join(error.args[1][::-1])) from None


def _name_of(path: pathlib.Path) -> str:
    parts = path.relative_to(SOURCE.parent).with_suffix("").parts
    return ".".join(parts).removesuffix(".__init__")


def test_modules_of_the_project_are_imported_not_their_names() -> None:
    wrong = [
        f"{path.name}: {module}.{name}"
        for path in module_files()
        for module, name in imports_of(path)
        if module.startswith("mintcleat")
        and name
        and not is_module(module, name)
    ]
    assert wrong == []


def test_cores_do_no_io() -> None:
    forbidden = {"eventlet", "socket", "os", "time", "urllib3", "random"}
    cores = ("decisions", "programs", "consensus", "configuration", "domain")
    wrong = [
        f"{path.name}: {module}"
        for package in cores
        for path in (SOURCE / package).rglob("*.py")
        for module, _ in imports_of(path)
        if module.split(".")[0] in forbidden
    ]
    assert wrong == []


def test_only_the_platform_package_uses_the_platforms_names() -> None:
    wrong = [
        f"{path.name}: {found.group()}"
        for path in module_files()
        if PLATFORM not in path.parents
        for found in PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert wrong == []


def test_only_the_composition_root_imports_the_platform() -> None:
    wrong = [
        path.name
        for path in module_files()
        if PLATFORM not in path.parents and path.name not in PLATFORM_USERS
        for module, name in imports_of(path)
        if f"{module}.{name}.".startswith("mintcleat.platform.")
    ]
    assert wrong == []


def test_no_source_file_carries_a_banner() -> None:
    marks = ("copy" + "right", "licen" + "se", "sp" + "dx")
    wrong = [
        path.name
        for path in module_files()
        if any(mark in path.read_text().lower() for mark in marks)
    ]
    assert wrong == []
