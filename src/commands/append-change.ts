/** Appends an operator's change and settles it by reading its own record back. */
import { randomUUID, type KeyObject } from 'node:crypto'
import { foldPage } from '../core/configuration/fold.js'
import { createChangeRecord, mayRebase, resolveChange, type ChangeOutcome } from '../core/configuration/change-outcome.js'
import { readPage } from '../nodes/log-reader.js'
import { readState } from '../queries/read-state.js'
import { streams, type LogClient } from '../transports/log-client.js'
import type { Change, FoldState } from '../types/configuration.js'
import { waitUntil } from '../utils/clock.js'

/** What became of a change. */
export type ChangeResult =
  | { readonly tag: 'accepted', readonly id: string, readonly offset: number, readonly rebased: boolean }
  | { readonly tag: 'refused', readonly id: string, readonly offset: number, readonly reason: string }
  /** The append may have taken effect or still do so; the log could not tell before the deadline. */
  | { readonly tag: 'unknown', readonly id: string }

const appendTimeoutMilliseconds = 5000
const pollIntervalMilliseconds = 200
const maximumRebases = 5

/** Appends `change` once; a lost answer is settled by reading on, never by a blind second append. */
export async function appendChange (client: LogClient, state: FoldState, change: Change, author: string, deadline: number, key?: KeyObject): Promise<ChangeResult> {
  const id = randomUUID()
  const settled = await appendOnce(client, state, change, id, author, deadline, key)
  return toChangeResult(settled, id, false)
}

/** As `appendChange`; a change that lost only to unrelated ones is appended anew on top of them. */
export async function appendRebased (client: LogClient, state: FoldState, change: Change, author: string, deadline: number, key?: KeyObject): Promise<ChangeResult> {
  let seen = state
  for (let turn = 0; ; turn++) {
    const id = randomUUID()
    const settled = await appendOnce(client, seen, change, id, author, deadline, key)
    const result = toChangeResult(settled, id, turn > 0)
    if (settled.tag !== 'refused' || settled.reason !== 'stale' || turn === maximumRebases) return result
    const current = await readState(client, settled.state)
    if (!mayRebase(change, seen, current)) return result
    seen = current
  }
}

function toChangeResult (settled: ChangeOutcome, id: string, rebased: boolean): ChangeResult {
  switch (settled.tag) {
    case 'accepted': return { tag: 'accepted', id, offset: settled.offset, rebased }
    case 'refused': return { tag: 'refused', id, offset: settled.offset, reason: settled.reason }
    case 'absent': return { tag: 'unknown', id }
  }
}

async function appendOnce (client: LogClient, seen: FoldState, change: Change, id: string, author: string, deadline: number, key?: KeyObject): Promise<ChangeOutcome> {
  const body = JSON.stringify(createChangeRecord(seen, change, id, author, Date.now(), key))
  try {
    await client.append(streams.configuration, [body], Math.min(deadline, Date.now() + appendTimeoutMilliseconds))
  } catch {
    // The answer may be lost after the effect: the log itself decides below.
  }
  return await readOutcome(client, seen, id, deadline)
}

async function readOutcome (client: LogClient, seen: FoldState, id: string, deadline: number): Promise<ChangeOutcome> {
  let state = seen
  while (Date.now() < deadline) {
    try {
      const page = await readPage(client, state, Date.now())
      const settled = resolveChange(state, page, id)
      if (settled.tag !== 'absent') return settled
      state = foldPage(state, page)
      if (state.next < page.next) continue
    } catch {
      // The log may come back before the deadline.
    }
    await waitUntil(Math.min(deadline, Date.now() + pollIntervalMilliseconds))
  }
  return { tag: 'absent', state }
}
