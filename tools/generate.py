"""Generates the Python types of all JSON schemas.

Run as ``python tools/generate.py`` from the root of the repository.
"""

import re
import sys
from pathlib import Path
from subprocess import run

SCHEMA_FOLDER = Path('mangotrail/schema')
PACKAGE_FOLDER = Path('mangotrail')
ID_PATTERN = re.compile('"x-python-type": "([A-Za-z]+)"')
OPTIONS = (
    '--input-file-type=jsonschema',
    '--output-model-type=msgspec.Struct',
    '--target-python-version=3.11',
    '--disable-timestamp',
    '--use-schema-description',
    '--capitalise-enum-members',
    '--set-default-enum-member',
    '--base-class=mangotrail._struct.FrozenStruct',
    '--keyword-only',
    '--use-default',
    '--use-generic-container-types',
    '--use-standard-collections',
    '--formatters=builtin',
)
# Without the mapping, the generator copies the types of bundle.json into the
# module instead of importing them.
BUNDLE_REFERENCE = '--external-ref-mapping=bundle.json=mangotrail._bundle'


def generate(name: str) -> None:
    """Write the module of one schema.

    :param name: schema file name without its extension.
    :raises subprocess.CalledProcessError: if the generator rejects the schema.
    """
    schema = SCHEMA_FOLDER / f'{name}.json'
    output = PACKAGE_FOLDER / f'_{name}.py'
    used_ids = sorted(set(ID_PATTERN.findall(schema.read_text())))
    imports = ','.join(f'mangotrail.ids.{used}' for used in used_ids)
    command = [
        str(Path(sys.executable).parent / 'datamodel-codegen'),
        f'--input={schema}',
        f'--output={output}',
        f'--custom-file-header="""Types generated from schema/{name}.json."""',
        *OPTIONS,
    ]
    if imports:
        command.append(f'--additional-imports={imports}')
    if 'bundle.json#' in schema.read_text():
        command.append(BUNDLE_REFERENCE)
    run(command, check=True)
    # The generator has no option for frozen structs.
    text = output.read_text().replace(
        'kw_only=True', 'frozen=True, kw_only=True'
    )
    output.write_text(text)
    ruff = str(Path(sys.executable).parent / 'ruff')
    run([ruff, 'check', '--quiet', '--fix', str(output)], check=False)
    run([ruff, 'format', '--quiet', str(output)], check=True)


def main() -> None:
    """Write the module of every schema."""
    for schema in sorted(SCHEMA_FOLDER.glob('*.json')):
        generate(schema.stem)


if __name__ == '__main__':
    main()
