"""The commands on quarantined blocks, which all entries follow through the object store."""

from pathlib import Path
from typing import Annotated, Final, NoReturn

import msgspec
import typer
from result import Err, Ok

from filbertstream.cli_common import EXIT_OUTCOME_UNKNOWN, EXIT_UNREACHABLE, Output
from filbertstream.connection.quarantine_store import QuarantineStore
from filbertstream.fleet.quarantine import QuarantineRecord
from filbertstream.platform.objects import ObjectStore, ObjectStoreFailure

OPERATOR: Final = "operator"

quarantine_app = typer.Typer(
    no_args_is_help=True, help="Blocks whose prompts are refused since they crash runners."
)


StoreOption = Annotated[
    str,
    typer.Option("--store", envvar="FILBERTSTREAM_STORE", help="URL of the object store."),
]
CaOption = Annotated[Path | None, typer.Option("--ca", help="Its certificate authority.")]
ModelArgument = Annotated[str, typer.Argument(help="Name of the model.")]
BlockArgument = Annotated[str, typer.Argument(help="Id of the block, as in the log.")]


def _store(url: str, ca_file: Path | None) -> QuarantineStore:
    return QuarantineStore(ObjectStore(url, None if ca_file is None else str(ca_file)))


def _fail(failure: ObjectStoreFailure) -> NoReturn:
    typer.echo(f"object store: {failure.value}", err=True)
    refused = failure is ObjectStoreFailure.REFUSED
    raise typer.Exit(EXIT_UNREACHABLE if refused else EXIT_OUTCOME_UNKNOWN)


def _line(record: QuarantineRecord) -> str:
    state = "quarantined" if record.active else "released"
    crashes = f", crashed {' '.join(record.crashes)}" if record.crashes else ""
    together = f", in prompts that also have {' '.join(record.rivals)}" if record.active else ""
    rivals = together if record.rivals else ""
    return f"{record.model} {record.block_id}: {state} by {record.by}{crashes}{rivals}"


@quarantine_app.command(name="list")
def list_records(store: StoreOption, ca: CaOption = None, output: Output = Output.text) -> None:
    """List quarantined and released blocks, with who decided it and which runners crashed."""
    match _store(store, ca).records():
        case Err(failure):
            _fail(failure)
        case Ok(records):
            records.sort(key=lambda record: (record.model, record.block_id))
    if output is Output.json:
        typer.echo(msgspec.json.encode(records).decode())
        return
    for record in records:
        typer.echo(_line(record))


def _write(store: str, ca: Path | None, model: str, block: str, active: bool) -> None:
    match _store(store, ca).write(model, block, active, OPERATOR):
        case Err(failure):
            _fail(failure)
        case Ok(record):
            typer.echo(_line(record))


@quarantine_app.command()
def add(
    model: ModelArgument, block: BlockArgument, store: StoreOption, ca: CaOption = None
) -> None:
    """Refuse all prompts with a block."""
    _write(store, ca, model, block, True)


@quarantine_app.command()
def release(
    model: ModelArgument, block: BlockArgument, store: StoreOption, ca: CaOption = None
) -> None:
    """Accept prompts with a block again; what spoke against it so far is forgotten."""
    _write(store, ca, model, block, False)
