/** When to write a snapshot record, and who does it first. */
import type { ListedInstance } from '../../types/platform.js'
import type { StoredRecord } from '../../types/platform.js'
import { rankMembers } from '../../utils/rendezvous.js'
import { snapshotPlaceholder } from './fold.js'

/** Records after which a new snapshot is due. */
export const snapshotIntervalRecords = 400
/** Age at which a snapshot is written again, milliseconds; well below the time that the log keeps records. */
export const snapshotIntervalMilliseconds = 300_000
/** Pause between one possible writer and the next, milliseconds. */
export const writerSpacingMilliseconds = 2000

/** The last snapshot that a node saw pass. */
export interface LastSnapshot {
  readonly offset: number
  /** Epoch milliseconds. */
  readonly at: number
}

/** Progress after records; each is a record of the log or one passed on by a peer. */
export function updateLastSnapshot (progress: LastSnapshot, records: readonly StoredRecord[]): LastSnapshot {
  const last = records.findLast(({ offset, body }) => offset > progress.offset && isSnapshotBody(body))
  return last === undefined ? progress : { offset: last.offset, at: last.at }
}

/** Whether a snapshot of the state before `next` is due; `revision` is -1 while there is nothing to keep. */
export function isSnapshotDue (progress: LastSnapshot, state: { readonly next: number, readonly revision: number }, now: number): boolean {
  if (state.revision === -1) return false
  return state.next - progress.offset > snapshotIntervalRecords || now - progress.at >= snapshotIntervalMilliseconds
}

/** How many possible writers come before a node; a reader of each data centre in turn, then the second ones. */
export function writerRank (instances: readonly ListedInstance[], dataCentre: string, position: number): number {
  const dataCentres = [...new Set(instances.filter(({ state }) => state === 'live').map(listed => listed.dataCentre))]
  const ranked = rankMembers('snapshot', dataCentres)
  const own = ranked.indexOf(dataCentre)
  return position * ranked.length + (own === -1 ? ranked.length : own)
}

function isSnapshotBody (body: string): boolean {
  return body === snapshotPlaceholder || body.startsWith('{"type":"snapshot"')
}
