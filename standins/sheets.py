"""Operators' sheets for tests and demonstrations."""

from standins.fleet import WORKSPACE_KEY, hash_key

RANKS = """[ranks]
name,order,minimum_share,target_ms,worth,reserve
urgent,1,0,330,10,0.1
standard,2,0.2,1000,3,0
routine,3,0.1,5000,1,0
"""


def write_sheet(
    *,
    workspaces: tuple[str, ...] = ("depot", "members"),
    load_multiple: float = 2.0,
    slots: int = 8,
    version: str = "1",
    recalls: tuple[tuple[str, str, str], ...] = (),
    checks_fence: bool = True,
) -> str:
    """Return a sheet with one model pool and one service pool."""
    fence = "yes" if checks_fence else "no"
    lines = [RANKS, "[pools]"]
    lines.append("name,kind,model,version,load_multiple,slots,checks_fence")
    lines.append(f"lm,model,lm,{version},{load_multiple},{slots},{fence}")
    lines.append(f"ledger,service,,,{load_multiple},{slots},no")
    lines.append("\n[workspaces]\nname,key_sha256,highest_rank,weight")
    lines += [f"{name},{hash_key(WORKSPACE_KEY)},urgent,1" for name in workspaces]
    if recalls:
        lines.append("\n[recalls]\nrecall_id,kind,target")
        lines += [",".join(recall) for recall in recalls]
    return "\n".join(lines) + "\n"
