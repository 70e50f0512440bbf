"""The command line, built with typer on ``gateway_process`` and ``operator_client``.

Modules that only one command needs are imported in that command, since an entry that was killed
serves again only after its imports.

Exit codes: 0 success, 1 rejected or not found, 2 invalid usage or settings, 3 no entry or no object
store reachable, 4 a change with an unknown outcome, 5 a conflict with another change, 70 a violated
invariant, 71 an address in use.
"""

import os
from pathlib import Path
from typing import Annotated, Any, Final, NoReturn

import msgspec
import typer
import yaml
import zmq
from result import Err, Ok

from filbertstream.checks import Mistake
from filbertstream.cli_common import (
    EXIT_CONFLICT,
    EXIT_INVARIANT,
    EXIT_NO_ADDRESS,
    EXIT_OUTCOME_UNKNOWN,
    EXIT_REJECTED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    Output,
)
from filbertstream.cli_quarantine import quarantine_app
from filbertstream.connection.address_wait import ADDRESS_WAIT_S
from filbertstream.gateway_process import GatewayProcess
from filbertstream.log_explain import explain_lines, read_lines
from filbertstream.names import digest_key
from filbertstream.operator_client import OperatorClient, OperatorResponse
from filbertstream.platform.settings_file import BOOT_VARIABLE, read_settings_file
from filbertstream.process.watched_file import WatchedFile

EXIT_CODES: Final = {
    "lost": EXIT_CONFLICT,
    "unsettled": EXIT_OUTCOME_UNKNOWN,
    "unavailable": EXIT_UNREACHABLE,
}
"""Exit codes by the ``state`` of a change that was not applied."""

app = typer.Typer(
    no_args_is_help=True, add_completion=False, help="Serve prompts that return after long gaps."
)
report_app = typer.Typer(no_args_is_help=True, help="Reports over all entries.")
app.add_typer(report_app, name="report")
app.add_typer(quarantine_app, name="quarantine")


EntryOption = Annotated[
    list[str],
    typer.Option("--entry", envvar="FILBERTSTREAM_ENTRIES", help="Operator URL of an entry."),
]
KeyOption = Annotated[
    str, typer.Option("--key", envvar="FILBERTSTREAM_OPERATOR_KEY", help="The operator's key.")
]
CaOption = Annotated[
    Path | None,
    typer.Option("--ca", envvar="FILBERTSTREAM_CA", help="CA file that verifies entries."),
]
AddressWaitOption = Annotated[
    float, typer.Option("--address-wait-s", min=0, help="Time to wait for addresses in use.")
]
OutputOption = Annotated[Output, typer.Option("--output", help="text or json")]


def _client(entries: list[str], key: str, ca_file: Path | None) -> OperatorClient:
    urls = tuple(url for entry in entries for url in entry.split(",") if url)
    return OperatorClient(urls, key, None if ca_file is None else str(ca_file))


def _fail(text: str, code: int) -> NoReturn:
    typer.echo(text, err=True)
    raise typer.Exit(code)


def _fail_errors(errors: list[Mistake]) -> NoReturn:
    _fail("\n".join(str(error) for error in errors), EXIT_USAGE)


def _print(value: Any, output: Output) -> None:
    if output is Output.json:
        typer.echo(msgspec.json.encode(value).decode())
    else:
        typer.echo(yaml.safe_dump(value, sort_keys=False).rstrip())


def _response(
    client: OperatorClient, method: str, path: str, value: object = None
) -> OperatorResponse:
    match client.first(method, path, value):
        case Ok(response):
            return response
        case Err(reason):
            _fail(reason, EXIT_UNREACHABLE)


def _body_or_exit(response: OperatorResponse) -> Any:
    """Return the body of a response, or exit with the entry's error."""
    if response.status != 200:
        _fail(
            f"{response.body.get('title', '')} {response.body.get('detail', '')}".strip(),
            EXIT_REJECTED,
        )
    return response.body


def run_process(process: GatewayProcess) -> NoReturn:
    """Run an entry, and end this process with its exit code."""
    code = 0
    try:
        if not process.run():
            typer.echo("an invariant was violated; see the log", err=True)
            code = EXIT_INVARIANT
    except OSError as exc:
        typer.echo(f"cannot listen: {exc}", err=True)
        code = EXIT_NO_ADDRESS
    # The interpreter would wait for threads whose calls are unanswered, perhaps past the grace.
    os._exit(code)


@app.command()
def entry(
    config: Annotated[Path, typer.Option("--config", help="Settings file.")],
    address_wait_s: AddressWaitOption = ADDRESS_WAIT_S,
) -> None:
    """Run one entry until SIGTERM, SIGINT or a drain; running requests end first."""
    from filbertstream.process.settings import deployment_of, read_settings
    from filbertstream.product import ProductSetup

    file = WatchedFile(config)
    match file.read_complete(read_settings):
        case Err(errors):
            _fail_errors(errors)
        case Ok(settings):
            setup = ProductSetup(settings)
            run_process(GatewayProcess(deployment_of(settings), file, setup, address_wait_s))


@app.command()
def gateway(
    settings: Annotated[
        Path, typer.Option("--settings", envvar=BOOT_VARIABLE, help="The platform's settings file.")
    ],
    address_wait_s: AddressWaitOption = ADDRESS_WAIT_S,
) -> None:
    """Run one entry on the users' platform until SIGTERM or SIGINT."""
    file = WatchedFile(settings)
    match file.read_complete(read_settings_file):
        case Err(errors):
            _fail_errors(errors)
        case Ok(deployment):
            run_process(GatewayProcess(deployment, file, address_wait_s=address_wait_s))


@app.command()
def check(
    file: Path,
    files: Annotated[
        bool, typer.Option(help="Also check that the files it refers to exist.")
    ] = True,
    output: OutputOption = Output.text,
) -> None:
    """Validate a settings file or a file of documents, and print every error."""
    from filbertstream.process.settings import read_settings
    from filbertstream.version.documents import parse_yaml

    text = file.read_text() if file.is_file() else ""
    is_documents = any(line.startswith("kind:") for line in text.splitlines())
    result = parse_yaml(text, str(file)) if is_documents else read_settings(file, files)
    match result:
        case Ok(_):
            _print({"file": str(file), "mistakes": []}, output)
        case Err(errors):
            if output is Output.json:
                typer.echo(msgspec.json.encode([item._asdict() for item in errors]).decode())
                raise typer.Exit(EXIT_USAGE)
            _fail_errors(errors)


@app.command()
def digest(key: str) -> None:
    """Print the digest of a bearer key, as listed in documents."""
    typer.echo(digest_key(key))


@app.command(name="fleet-key")
def fleet_key() -> None:
    """Generate and print a secret key for the links between entries, for ``peers.key_file``."""
    typer.echo(zmq.curve_keypair()[1].decode())


@app.command()
def apply(
    file: Annotated[Path, typer.Option("-f", "--file", help="YAML documents.")],
    entries: EntryOption,
    key: KeyOption,
    base: Annotated[
        int | None, typer.Option(help="Apply only if this is the current revision.")
    ] = None,
    dry_run: Annotated[bool, typer.Option(help="Only print what would change.")] = False,
    ca: CaOption = None,
    output: OutputOption = Output.text,
) -> None:
    """Print the differences and write the documents; entries apply them within the bound."""
    from filbertstream.version.documents import encode_changes, parse_yaml

    match parse_yaml(file.read_text(), str(file)):
        case Err(errors):
            _fail_errors(errors)
        case Ok(changes):
            pass
    client = _client(entries, key, ca)
    plain = msgspec.json.decode(encode_changes(changes))
    lines, revision = _differences(client, plain)
    for line in lines:
        typer.echo(line, err=output is Output.json)
    if dry_run or not lines:
        _print({"state": "unchanged" if not lines else "dry run", "revision": revision}, output)
        return
    base_revision = revision if base is None else base
    _print_applied(
        _response(client, "POST", "/v1/apply", {"changes": plain, "base": base_revision}), output
    )


def _print_applied(response: OperatorResponse, output: Output) -> None:
    """Print the outcome of a change, and exit with its code if it was not applied."""
    _print(response.body, output)
    if response.status != 200:
        raise typer.Exit(EXIT_CODES.get(response.body.get("state", ""), EXIT_REJECTED))


def _differences(client: OperatorClient, changes: list[dict[str, Any]]) -> tuple[list[str], int]:
    """Return a line for each document that would change, and the current revision."""
    lines = []
    revision = int(_body_or_exit(_response(client, "GET", "/v1/documents"))["revision"])
    for change in changes:
        kind = change.get("of", change["kind"])
        response = _response(client, "GET", f"/v1/documents/{kind}/{change['name']}")
        present = response.body.get("document") if response.status == 200 else None
        if change["kind"] == "removal":
            lines += [f"- {kind} {change['name']}"] if present else []
        elif present is None:
            lines.append(f"+ {kind} {change['name']}")
        elif present != change:
            fields = sorted(
                name for name in present | change if present.get(name) != change.get(name)
            )
            lines.append(f"~ {kind} {change['name']}: {', '.join(fields)}")
    return lines, revision


@app.command()
def get(
    kind: str,
    name: str,
    entries: EntryOption,
    key: KeyOption,
    ca: CaOption = None,
    output: OutputOption = Output.text,
) -> None:
    """Print one document of the current revision."""
    client = _client(entries, key, ca)
    _print(
        _body_or_exit(_response(client, "GET", f"/v1/documents/{kind}/{name}"))["document"], output
    )


@app.command(name="list")
def list_documents(
    entries: EntryOption,
    key: KeyOption,
    ca: CaOption = None,
    output: OutputOption = Output.text,
) -> None:
    """Print the current revision and the names of its documents."""
    _print(_body_or_exit(_response(_client(entries, key, ca), "GET", "/v1/documents")), output)


@app.command()
def status(
    entries: EntryOption,
    key: KeyOption,
    ca: CaOption = None,
    output: OutputOption = Output.text,
) -> None:
    """Print the status of every given entry."""
    states: dict[str, Any] = {}
    failed = False
    for url, result in _client(entries, key, ca).each("GET", "/v1/status"):
        match result:
            case Ok(response):
                states[url] = response.body
                failed = failed or response.status != 200
            case Err(reason):
                states[url] = {"unreachable": reason}
                failed = True
    _print(states, output)
    if failed:
        raise typer.Exit(EXIT_UNREACHABLE)


@app.command()
def drain(
    name: str,
    entries: EntryOption,
    key: KeyOption,
    end: Annotated[bool, typer.Option("--end", help="Return a drained target to service.")] = False,
    ca: CaOption = None,
    output: OutputOption = Output.text,
) -> None:
    """Drain an entry or a target: it gets no new work and completes running requests."""
    change = {"kind": "drain", "name": name}
    if end:
        change = {"kind": "removal", "of": "drain", "name": name}
    body = {"changes": [change], "base": None}
    _print_applied(_response(_client(entries, key, ca), "POST", "/v1/apply", body), output)


@app.command()
def explain(
    request_id: str,
    entries: EntryOption,
    key: KeyOption,
    ca: CaOption = None,
    output: OutputOption = Output.text,
) -> None:
    """Print the routing decisions of a request, from the entry that served it."""
    for _, result in _client(entries, key, ca).each("GET", f"/v1/explain/{request_id}"):
        match result:
            case Ok(response) if response.status == 200:
                _print(response.body, output)
                return
            case _:
                continue
    _fail(f"no given entry has a record of request {request_id}", EXIT_REJECTED)


@app.command(name="explain-log")
def explain_log(
    request_id: str,
    files: Annotated[list[Path], typer.Argument(exists=True, help="Log files of entries.")],
) -> None:
    """Print the events of a request and the state that its entry had observed, from log files."""
    output_lines = explain_lines(read_lines(files), request_id)
    if not output_lines:
        _fail(f"no log line mentions request {request_id}", EXIT_REJECTED)
    for line in output_lines:
        typer.echo(line)


@report_app.command()
def burn(
    entries: EntryOption,
    key: KeyOption,
    ca: CaOption = None,
    output: OutputOption = Output.text,
    picture: Annotated[
        Path | None, typer.Option(help="Also write a chart to this PNG file.")
    ] = None,
) -> None:
    """Print the error-budget burn rates of each workspace, merged over the entries."""
    from filbertstream.burn_report import as_rows, draw, table
    from filbertstream.process.burn import merge

    reports = []
    for url, result in _client(entries, key, ca).each("GET", "/v1/burn"):
        match result:
            case Ok(response):
                reports.append(_body_or_exit(response))
            case Err(reason):
                typer.echo(f"not included: {url}: {reason}", err=True)
    if not reports:
        _fail("no entry could be reached", EXIT_UNREACHABLE)
    rows = merge(reports)
    if picture is not None:
        draw(rows, picture)
    typer.echo(
        msgspec.json.encode(as_rows(rows)).decode() if output is Output.json else table(rows)
    )
