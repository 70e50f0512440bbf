"""A tenant becomes dedicated; parts of prompts that it made stay shared with the other tenants."""

import asyncio

import stand
from stand import TROUBLE, Client, Deployment

ENTRIES = 3
ROUNDS = 6
APPLIED_S = 5.0
"""More than ``config_apply_ms`` + ``contact_ms`` after the acknowledgement."""

PROMPTS = [f"{number:08x}:160,{number + 100:08x}:80" for number in range(1, 9)]


async def ask(deployment: Deployment, key: str, first: int) -> list[str]:
    """Send each prompt once, with a last part of its own; return the ids."""
    sent = []
    for number, prompt in enumerate(PROMPTS):
        entry = deployment.entries[number % ENTRIES]
        client = Client(deployment.record, entry.front)
        prefix = f"{prompt},{first + number:08x}:60"
        request_id, _ = await client.call("/resumen/x", key, prefix=prefix)
        client.close()
        sent.append(request_id)
    return sent


async def play(deployment: Deployment) -> bool:
    """Return whether a request used a part of another tenant's, one of the two being dedicated."""
    await deployment.start(ENTRIES)
    record = deployment.record
    await ask(deployment, "key-of-bozi", 0x1000)
    if TROUBLE:
        deployment.tenants[0]["dedicated"] = True
    await deployment.put_config()
    await asyncio.sleep(APPLIED_S)
    used_before = {name: len(runner.used) for name, runner in deployment.runners.items()}
    for number in range(ROUNDS):
        await ask(deployment, "key-of-luma", 0x2000 + 0x100 * number)
        await ask(deployment, "key-of-bozi", 0x4000 + 0x100 * number)
    dedicated = {tenant["name"] for tenant in deployment.tenants if tenant.get("dedicated")}
    crossed = [
        (part, maker, tenant)
        for name, runner in deployment.runners.items()
        for part, maker, tenant in runner.used[used_before[name] :]
        if maker != tenant and {maker, tenant} & dedicated
    ]
    for part, maker, tenant in crossed:
        record.write("crossed", part=part, made_by=maker, used_by=tenant)
    print(f"parts of a dedicated tenant used by another one, or the reverse: {len(crossed)}")
    return bool(crossed)


if __name__ == "__main__":
    stand.main(play, __file__)
