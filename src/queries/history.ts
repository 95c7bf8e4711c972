/** The configuration records that the log still retains, each with its result. */
import { emptyFold, foldRecord, baseStateFor } from '../core/configuration/fold.js'
import { scopeOf } from '../core/configuration/change.js'
import { readPage } from '../nodes/log-reader.js'
import type { LogClient } from '../transports/log-client.js'
import { configurationRecordSchema, type ConfigurationRecord } from '../types/configuration.js'

/** One record of the configuration stream. */
export interface HistoryLine {
  readonly offset: number
  /** Epoch milliseconds at the log. */
  readonly at: number
  readonly id: string
  readonly author: string
  /** Scope of a change, `snapshot`, or empty for a corrupt record. */
  readonly what: string
  readonly result: 'accepted' | 'stale' | 'unsigned' | 'malformed' | 'invalid' | 'snapshot-mismatch'
}

/** Reads every retained record in order. If older records have expired, the history starts with the first record that the oldest usable snapshot does not cover. */
export async function readHistory (client: LogClient): Promise<readonly HistoryLine[]> {
  let state = emptyFold
  const lines: HistoryLine[] = []
  for (;;) {
    const page = await readPage(client, state, Date.now())
    const before = state
    state = baseStateFor(state, page) ?? state
    for (const stored of page.records) {
      const folded = foldRecord(state, stored)
      if (folded.next === state.next) continue
      const refusal = folded.refused.find(({ offset }) => offset === stored.offset)
      lines.push(toHistoryLine(stored.offset, stored.at, stored.body, refusal?.reason ?? 'accepted'))
      state = folded
    }
    if (state.next >= page.next || state.next === before.next) return lines
  }
}

function toHistoryLine (offset: number, at: number, body: string, result: HistoryLine['result']): HistoryLine {
  const record = parseRecord(body)
  if (record === undefined) return { offset, at, id: '', author: '', what: '', result }
  if (record.type === 'snapshot') return { offset, at, id: record.id, author: '', what: 'snapshot', result }
  const { change } = record
  const what = change.kind === 'data-centre' ? `${scopeOf(change)} ${change.state}` : `${change.kind} ${scopeOf(change)}`
  return { offset, at, id: record.id, author: record.author, what, result }
}

function parseRecord (body: string): ConfigurationRecord | undefined {
  try {
    return configurationRecordSchema.parse(JSON.parse(body))
  } catch {
    return undefined
  }
}
