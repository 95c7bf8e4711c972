/** When a snapshot record is due, and in which order the nodes may write it. */
import type { ListedInstance } from '../../types/platform.js'
import type { StoredRecord } from '../../types/platform.js'
import { rankMembers } from '../../utils/rendezvous.js'
import { snapshotPlaceholder } from './fold.js'

/** A snapshot is due when more records than this follow the last one. */
export const snapshotIntervalRecords = 400
/** Age of the last snapshot at which the next is due; well below the retention of the log. */
export const snapshotIntervalMilliseconds = 300_000
/** Delay between one possible writer and the next, so that usually only the first writes. */
export const writerSpacingMilliseconds = 2000

/** Last snapshot record that a node received. */
export interface LastSnapshot {
  readonly offset: number
  /** Epoch milliseconds at which the log took it. */
  readonly at: number
}

/** Last snapshot after more records, received from the log or from a peer. */
export function updateLastSnapshot (last: LastSnapshot, records: readonly StoredRecord[]): LastSnapshot {
  const found = records.findLast(({ offset, body }) => offset > last.offset && isSnapshotBody(body))
  return found === undefined ? last : { offset: found.offset, at: found.at }
}

/** Whether a snapshot of a state is due at `now`, epoch milliseconds; never before the first accepted change (`revision` -1). */
export function isSnapshotDue (last: LastSnapshot, state: { readonly next: number, readonly revision: number }, now: number): boolean {
  if (state.revision === -1) return false
  return state.next - last.offset > snapshotIntervalRecords || now - last.at >= snapshotIntervalMilliseconds
}

/** Number of possible writers before a node: first the first reader of each data centre, then the second ones. `position` is the rank in its data centre. */
export function writerRank (instances: readonly ListedInstance[], dataCentre: string, position: number): number {
  const dataCentres = [...new Set(instances.filter(({ state }) => state === 'live').map(listed => listed.dataCentre))]
  const ranked = rankMembers('snapshot', dataCentres)
  const dataCentreRank = ranked.indexOf(dataCentre)
  return position * ranked.length + (dataCentreRank === -1 ? ranked.length : dataCentreRank)
}

function isSnapshotBody (body: string): boolean {
  return body === snapshotPlaceholder || body.startsWith('{"type":"snapshot"')
}
