/** Appends a snapshot record when one is due and no higher-ranked reader has written it. */
import { randomUUID } from 'node:crypto'
import { makeSnapshot } from '../core/configuration/fold.js'
import { isSnapshotDue, updateLastSnapshot, writerSpacingMilliseconds, type LastSnapshot } from '../core/configuration/snapshots.js'
import { streams, type LogClient } from '../transports/log-client.js'
import type { FoldState } from '../types/configuration.js'
import type { StoredRecord } from '../types/platform.js'
import { logFor } from '../utils/log.js'

const log = logFor('configuration')
const appendTimeoutMilliseconds = 3000
const retryMilliseconds = 10_000

/** Writes snapshots; a duplicate is harmless. */
export class SnapshotWriter {
  private progress: LastSnapshot = { offset: -1, at: Date.now() }
  private writeAt: number | undefined

  constructor (private readonly client: LogClient) {}

  /** Records the latest snapshot among newly read records. */
  observe (records: readonly StoredRecord[]): void {
    this.progress = updateLastSnapshot(this.progress, records)
  }

  /** Counts the records since the last snapshot from `offset` on, after a state was adopted without its records. */
  skipTo (offset: number): void {
    this.progress = { ...this.progress, offset: Math.max(this.progress.offset, offset) }
  }

  /** Writes a snapshot when one is due; each of the `rank` writers before this node gets `writerSpacingMilliseconds` to do it first. */
  async writeIfDue (state: FoldState, rank: number): Promise<void> {
    const now = Date.now()
    if (!isSnapshotDue(this.progress, state, now)) {
      this.writeAt = undefined
      return
    }
    this.writeAt ??= now + rank * writerSpacingMilliseconds
    if (now < this.writeAt) return
    this.writeAt = now + retryMilliseconds
    await this.write(state)
  }

  private async write (state: FoldState): Promise<void> {
    const snapshot = makeSnapshot(state, randomUUID())
    if (snapshot === undefined) return
    try {
      await this.client.append(streams.configuration, [JSON.stringify(snapshot)], Date.now() + appendTimeoutMilliseconds)
      log.info('wrote a snapshot', { asOf: snapshot.asOf })
    } catch (error) {
      log.warn('cannot write a snapshot', { reason: String(error) })
    }
  }
}
