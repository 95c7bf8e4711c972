/** Appends an operator's change and settles it by reading its own record back. */
import { randomUUID } from 'node:crypto'
import { scopeOf } from '../core/configuration/change.js'
import { foldPage, revisionOfScope } from '../core/configuration/fold.js'
import { streams, type LogClient } from '../transports/log-client.js'
import type { Change, FoldState } from '../types/configuration.js'
import { waitUntil } from '../utils/clock.js'

/** What became of a change. */
export type ChangeResult =
  | { readonly tag: 'accepted', readonly offset: number }
  | { readonly tag: 'refused', readonly offset: number, readonly reason: string }
  | { readonly tag: 'unknown', readonly id: string }

const appendMilliseconds = 5000
const retryMilliseconds = 200

/** Appends `change` once; a lost answer is settled by reading to the head, never by a blind second append. */
export async function appendChange (client: LogClient, state: FoldState, change: Change, author: string, deadline: number): Promise<ChangeResult> {
  const id = randomUUID()
  const basedOn = revisionOfScope(state, scopeOf(change))
  const body = JSON.stringify({ type: 'change', id, basedOn, author, at: Date.now(), change })
  const offset = await appendOnce(client, state.next, id, body, deadline)
  if (offset === undefined) return { tag: 'unknown', id }
  const folded = foldPage(state, await client.read(streams.configuration, state.next, Date.now()))
  const refusal = folded.refused.find(refused => refused.offset === offset)
  return refusal === undefined ? { tag: 'accepted', offset } : { tag: 'refused', offset, reason: refusal.reason }
}

async function appendOnce (client: LogClient, from: number, id: string, body: string, deadline: number): Promise<number | undefined> {
  try {
    await client.append(streams.configuration, [body], Math.min(deadline, Date.now() + appendMilliseconds))
  } catch {
    // The answer may be lost after the effect: the log itself decides below.
  }
  while (Date.now() < deadline) {
    try {
      const page = await client.read(streams.configuration, from, Date.now())
      return page.records.find(record => record.body.includes(id))?.offset
    } catch {
      await waitUntil(Date.now() + retryMilliseconds)
    }
  }
  return undefined
}
