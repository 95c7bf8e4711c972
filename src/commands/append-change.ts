/** Appends an operator's change and reads its record back from the log to find the outcome. */
import { randomUUID, type KeyObject } from 'node:crypto'
import { foldPage } from '../core/configuration/fold.js'
import { createChangeRecord, mayRebase, resolveChange, type ChangeOutcome } from '../core/configuration/change-outcome.js'
import { readPage } from '../nodes/log-reader.js'
import { readState } from '../queries/read-state.js'
import { streams, type LogClient } from '../transports/log-client.js'
import type { Change, FoldState } from '../types/configuration.js'
import { waitUntil } from '../utils/clock.js'

/** Outcome of a change: the offset of its record in the log, or that it is unknown. */
export type ChangeResult =
  | { readonly tag: 'accepted', readonly id: string, readonly offset: number, readonly rebased: boolean }
  | { readonly tag: 'refused', readonly id: string, readonly offset: number, readonly reason: string }
  /** The record was not read back before the deadline; the append may have taken effect, or still may. */
  | { readonly tag: 'unknown', readonly id: string }

/** Time that the log has to answer an append. */
const appendTimeoutMilliseconds = 5000
/** Time between two reads of the log while the record is not there. */
const pollIntervalMilliseconds = 200
/** Times that a stale change is appended again. */
const maximumRebases = 5

/** Appends `change` to `state` once. If the log's answer is lost, the outcome is read from the log; the append is never repeated. `deadline` in epoch milliseconds. */
export async function appendChange (client: LogClient, state: FoldState, change: Change, author: string, deadline: number, key?: KeyObject): Promise<ChangeResult> {
  const id = randomUUID()
  const outcome = await appendOnce(client, state, change, id, author, deadline, key)
  return toChangeResult(outcome, id, false)
}

/** As `appendChange`; a change that was refused as stale because of unrelated changes only is appended again on top of them. */
export async function appendRebased (client: LogClient, state: FoldState, change: Change, author: string, deadline: number, key?: KeyObject): Promise<ChangeResult> {
  let seen = state
  for (let rebases = 0; ; rebases++) {
    const id = randomUUID()
    const outcome = await appendOnce(client, seen, change, id, author, deadline, key)
    const result = toChangeResult(outcome, id, rebases > 0)
    if (outcome.tag !== 'refused' || outcome.reason !== 'stale' || rebases === maximumRebases) return result
    const current = await readState(client, outcome.state)
    if (!mayRebase(change, seen, current)) return result
    seen = current
  }
}

function toChangeResult (outcome: ChangeOutcome, id: string, rebased: boolean): ChangeResult {
  switch (outcome.tag) {
    case 'accepted': return { tag: 'accepted', id, offset: outcome.offset, rebased }
    case 'refused': return { tag: 'refused', id, offset: outcome.offset, reason: outcome.reason }
    case 'absent': return { tag: 'unknown', id }
  }
}

async function appendOnce (client: LogClient, seen: FoldState, change: Change, id: string, author: string, deadline: number, key?: KeyObject): Promise<ChangeOutcome> {
  const body = JSON.stringify(createChangeRecord(seen, change, id, author, Date.now(), key))
  try {
    await client.append(streams.configuration, [body], Math.min(deadline, Date.now() + appendTimeoutMilliseconds))
  } catch {
    // The answer may have been lost after the append took effect: the outcome is read from the log below.
  }
  return await readOutcome(client, seen, id, deadline)
}

/** Reads the log on from `seen` until the record `id` or the deadline; the result is then `absent`. */
async function readOutcome (client: LogClient, seen: FoldState, id: string, deadline: number): Promise<ChangeOutcome> {
  let state = seen
  while (Date.now() < deadline) {
    try {
      const page = await readPage(client, state, Date.now())
      const outcome = resolveChange(state, page, id)
      if (outcome.tag !== 'absent') return outcome
      state = foldPage(state, page)
      if (state.next < page.next) continue
    } catch {
      // The log may be reachable again before the deadline.
    }
    await waitUntil(Math.min(deadline, Date.now() + pollIntervalMilliseconds))
  }
  return { tag: 'absent', state }
}
