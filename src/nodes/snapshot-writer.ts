/** Appends a snapshot record when one is due and no reader before this one has done so. */
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

/** Writes snapshots; one that is written twice is harmless. */
export class SnapshotWriter {
  private progress: LastSnapshot = { offset: -1, at: Date.now() }
  private writeAt: number | undefined

  constructor (private readonly client: LogClient) {}

  /** Looks for snapshots among records that passed. */
  observe (records: readonly StoredRecord[]): void {
    this.progress = updateLastSnapshot(this.progress, records)
  }

  /** Starts counting from the offset of a state that was taken whole. */
  skipTo (offset: number): void {
    this.progress = { ...this.progress, offset: Math.max(this.progress.offset, offset) }
  }

  /** Writes when due; `rank` possible writers come before this node. */
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
      log.info('a snapshot was written', { asOf: snapshot.asOf })
    } catch (error) {
      log.warn('a snapshot could not be written', { reason: String(error) })
    }
  }
}
