"""Reference pages and examples match the code."""

import pathlib
import re
import tempfile
import textwrap
from typing import get_type_hints

import msgspec
import testtools
from testtools import matchers

from mintcleat.adapters import settings
from mintcleat.decisions import policy
from mintcleat.domain import errors
from mintcleat.domain import manifest
from mintcleat.emulator import plan as experiment_plan
from mintcleat.load import plan

ROOT = pathlib.Path(__file__).parent.parent
REFERENCE = ROOT / "docs" / "reference"
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
FIELD_ROW = re.compile(r"^\| `(\w+)` \| (.*?) \| (.*?) \|", re.MULTILINE)
ERROR_ROW = re.compile(r"^\| `(\w+)` \| (\d+) \| `(\w+)` \|.*\| (.+) \|$")
METRIC_CALL = re.compile(
    r"metrics\.(count|observe|gauge)\(\s*\"(\w+)\"([^)]*)\)"
)
METRIC_ROW = re.compile(
    r"^\| `mintcleat_(\w+)` \| (\w+) \| (.*?) \|", re.MULTILINE
)
METRIC_TYPES = {"count": "counter", "observe": "histogram", "gauge": "gauge"}
EXPERIMENT_SECTIONS = {
    "The plan": experiment_plan.Plan,
    "`engine`": experiment_plan.Engine,
    "`kinds.NAME`": experiment_plan.Kind,
    "`kinds.NAME.tools[]`": experiment_plan.Tool,
    "`faults[]`": experiment_plan.Fault,
    "Amounts": experiment_plan.Distribution,
    "Mechanisms": policy.Policy,
    "Variants": experiment_plan.Variant,
}
SETTINGS_SECTIONS = {
    "The process": settings.Settings,
    "`times`": settings.Times,
    "`logs`": settings.Logs,
    "`entry`": settings.Entry,
    "`sidecar`": settings.Sidecar,
    "`control_role`": settings.Control,
    "`control_role.members[]`": settings.Member,
}
PLAN_SECTIONS = {
    "The plan": plan.Plan,
    "`kinds[]`": plan.Kind,
    "`kinds[].tools[]`": plan.Tool,
    "`kinds[].bursts[]`": plan.Burst,
}


def sections(page: pathlib.Path) -> dict[str, str]:
    """Returns the text of each section by its heading up to a colon."""
    parts = page.read_text().split("\n## ")[1:]
    return {
        re.split(r":|\n", part, maxsplit=1)[0].strip(): part for part in parts
    }


def shown_default(field: msgspec.structs.FieldInfo) -> str | None:
    """Returns a default as written on a page; None for a nested section."""
    if field.required:
        return "required"
    if field.default_factory is not msgspec.NODEFAULT:
        made = field.default_factory()
        return f"`{made}`" if isinstance(made, list) else None
    match field.default:
        case None | msgspec.Struct():
            return None
        case "":
            return "empty"
        case bool():
            return str(field.default).lower()
        case int() | float():
            return f"{field.default:.12g}"
        case tuple():
            least, most = field.default
            return f"`[{least:g}, {most:g}]`"
        case _:
            return f"`{field.default}`"


def written_metrics() -> dict[str, tuple[str, set[str]]]:
    """Returns the type and labels of each metric in the code."""
    found: dict[str, tuple[str, set[str]]] = {}
    for path in sorted((ROOT / "src").rglob("*.py")):
        for kind, name, rest in METRIC_CALL.findall(path.read_text()):
            labels = set(re.findall(r"(\w+)=", rest))
            found[name] = (METRIC_TYPES[kind], labels)
    return found


class DocsTest(testtools.TestCase):
    def assert_fields(
        self, page: pathlib.Path, expected: dict[str, type]
    ) -> None:
        found = sections(page)
        for heading, kind in expected.items():
            self.assertThat(found, matchers.Contains(heading))
            rows = {
                name: default
                for name, _, default in FIELD_ROW.findall(found[heading])
            }
            # Inherited fields are in the section of the base.
            inherited = getattr(kind.__base__, "__struct_fields__", ())
            fields = {
                field.encode_name: field
                for field in msgspec.structs.fields(kind)
                if field.name not in inherited
            }
            self.assertEqual(sorted(fields), sorted(rows), heading)
            for name, field in fields.items():
                default = shown_default(field)
                if default is not None:
                    self.assertEqual(default, rows[name], (heading, name))

    def test_the_errors_page_lists_exactly_the_kinds(self) -> None:
        page = (REFERENCE / "errors.md").read_text()
        rows = [
            match.groups()
            for line in page.splitlines()
            if (match := ERROR_ROW.match(line))
        ]
        expected = [
            (kind, str(one.status), one.default_outcome, one.default_remedy)
            for kind, one in errors.kinds().items()
        ]
        self.assertEqual(sorted(expected), sorted(rows))

    def test_the_settings_page_names_every_field(self) -> None:
        self.assert_fields(REFERENCE / "settings.md", SETTINGS_SECTIONS)

    def test_the_settings_page_covers_every_settings_struct(self) -> None:
        reached = {settings.Settings}
        for kind in SETTINGS_SECTIONS.values():
            hints = get_type_hints(kind).values()
            text = " ".join(str(hint) for hint in hints)
            reached |= {
                one
                for one in vars(settings).values()
                if isinstance(one, type)
                and issubclass(one, msgspec.Struct)
                and f"settings.{one.__name__}" in text
            }
        self.assertEqual(reached, set(SETTINGS_SECTIONS.values()))

    def test_the_load_page_names_every_field(self) -> None:
        self.assert_fields(REFERENCE / "load.md", PLAN_SECTIONS)

    def test_the_experiments_page_names_every_field(self) -> None:
        page = REFERENCE / "experiments.md"
        self.assert_fields(page, EXPERIMENT_SECTIONS)

    def test_every_shipped_experiment_is_a_valid_plan(self) -> None:
        files = sorted((ROOT / "examples" / "experiments").glob("*.json"))
        self.assertThat(files, matchers.HasLength(9))
        for path in files:
            found = experiment_plan.read(path)
            if path.name.startswith("hard-"):
                # The gap to the oracle over load needs all three.
                oracle = found.variants["oracle"]
                self.assertEqual("oracle", oracle.turns, path.name)
                self.assertEqual("oracle", oracle.placement, path.name)
                self.assertEqual([0.6, 0.8, 1, 1.5, 2, 4], found.loads)
                self.assertEqual([1, 2, 3], found.seeds)
            # A plan of the leader's admission, of crashing requests, of
            # answers without a marked end or of rollouts compares with and
            # without what answers it; any other compares all mechanisms that
            # matter without these.
            special = {"admission", "quarantine", "ends"}
            expected = set(policy.Policy.__struct_fields__) - special
            if found.admission == "programs":
                expected = {"admission"}
            if any(fault.kind == "crashing" for fault in found.faults):
                expected = {"quarantine"}
            if found.unmarked:
                expected = {"ends"}
            if any(fault.kind == "rollout" for fault in found.faults):
                expected = {"versions"}
            self.assertEqual(
                expected,
                {
                    name
                    for variant in found.variants.values()
                    for name in (*policy.Policy.__struct_fields__, "versions")
                    if not getattr(variant, name)
                },
            )

    def test_every_placement_experiment_compares_with_and_without(
        self,
    ) -> None:
        folder = ROOT / "examples" / "experiments" / "placement"
        files = sorted(folder.glob("*.json"))
        self.assertThat(files, matchers.HasLength(5))
        for path in files:
            found = experiment_plan.read(path)
            used = [one.turn_time for one in found.variants.values()]
            self.assertEqual([False, True], used, path.name)

    def test_the_example_of_the_load_page_is_a_valid_plan(self) -> None:
        page = (REFERENCE / "load.md").read_text()
        example = textwrap.dedent(page.split("## An example\n")[1])
        folder = self.enterContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder, "plan.json")
        path.write_text(example)
        self.assertEqual("triage", plan.load(path).kinds[0].name)

    def test_the_metrics_page_lists_exactly_the_metrics_in_the_code(
        self,
    ) -> None:
        page = (REFERENCE / "metrics.md").read_text()
        rows = {
            name: (kind, set(re.findall(r"`(\w+)`", labels)))
            for name, kind, labels in METRIC_ROW.findall(page)
        }
        written = written_metrics()
        self.assertNotEqual({}, written)
        self.assertEqual(written.keys(), rows.keys())
        for name, (kind, labels) in written.items():
            self.assertEqual(kind, rows[name][0], name)
            self.assertThat(rows[name][1], matchers.ContainsAll(labels))

    def test_every_shipped_settings_file_is_valid(self) -> None:
        files = sorted((ROOT / "examples" / "settings").glob("*.json"))
        self.assertThat(files, matchers.HasLength(8))
        loaded = [settings.load(path) for path in files]
        names = [one.instance for one in loaded]
        self.assertEqual([path.stem for path in files], names)

    def test_every_shipped_manifest_is_valid(self) -> None:
        files = sorted((ROOT / "examples" / "manifests").glob("*.json"))
        self.assertThat(files, matchers.HasLength(3))
        for path in files:
            manifest.parse(path.read_text())

    def test_example_settings_and_manifest_name_the_same_services(self) -> None:
        text = (ROOT / "examples/manifests/local-separate.json").read_text()
        services = manifest.parse(text).services
        found = {}
        for path in (ROOT / "examples" / "settings").glob("sidecar-*.json"):
            sidecar = settings.load(path).sidecar
            found[sidecar.service] = sidecar.kind
        expected = {name: one.kind for name, one in services.items()}
        self.assertEqual(expected, found)

    def test_control_instances_share_one_token_file(self) -> None:
        files = (ROOT / "examples" / "settings").glob("control-*.json")
        tokens = {settings.load(path).control_role.token_file for path in files}
        self.assertEqual({"mintcleat-data/admin-token"}, tokens)

    def test_every_relative_link_resolves(self) -> None:
        pages = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
        broken = []
        seen = 0
        for page in pages:
            for target in LINK.findall(page.read_text()):
                if "://" in target:
                    continue
                seen += 1
                path = (page.parent / target).resolve()
                if not path.exists():
                    broken.append(f"{page.name}: {target}")
        self.assertEqual([], broken)
        self.assertThat(seen, matchers.GreaterThan(10))

    def test_commands_of_the_readme_are_make_targets(self) -> None:
        readme = (ROOT / "README.md").read_text()
        makefile = (ROOT / "Makefile").read_text()
        for target in ("local", "test"):
            self.assertIn(f"\n    make {target}\n", readme)
            self.assertThat(
                makefile,
                matchers.MatchesRegex(rf"(?s).*^{target}:", flags=re.MULTILINE),
            )
