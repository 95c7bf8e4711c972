/** Reads the configuration stream from a state on, also across records that have expired. */
import { foldPage } from '../core/configuration/fold.js'
import { streams, type LogClient } from '../transports/log-client.js'
import type { FoldState } from '../types/configuration.js'
import type { StoredRecord, StreamPage } from '../types/platform.js'

/** Maximum number of records that are searched for a snapshot. */
const maximumSearchedRecords = 20_000

/**
 * Reads the page after `state`, waiting until `waitUntil` (epoch milliseconds) for records. When the records after `state` expired,
 * reads from the oldest one on until a snapshot bridges the gap. Throws when the log ends before `state` or holds no usable snapshot.
 */
export async function readPage (client: LogClient, state: FoldState, waitUntil: number): Promise<StreamPage> {
  const page = await client.read(streams.configuration, state.next, waitUntil)
  if (page.next < state.next) throw new Error(`the log ends at ${page.next}, before offset ${state.next} that was read earlier`)
  if (page.first <= state.next) return page
  const records: StoredRecord[] = [...page.records]
  for (;;) {
    const joined: StreamPage = { first: page.first, next: page.next, records }
    const reached = (records.at(-1)?.offset ?? page.first - 1) + 1
    if (foldPage(state, joined).next > state.next || reached >= page.next) return joined
    if (records.length >= maximumSearchedRecords) throw new Error(`the log holds no snapshot between ${page.first} and ${reached}`)
    const more = await client.read(streams.configuration, reached, Date.now())
    if (more.first > reached || more.records.length === 0) throw new Error(`the log lost records after ${reached} while they were read`)
    records.push(...more.records)
  }
}
