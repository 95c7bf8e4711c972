/** Applies the records of the instance list to the upstreams of an entry. */
import { lapseGraceMilliseconds, recordConfirmation, retainUntil, unknownAvailability } from '../../core/fleet/record-lapse.js'
import type { RecordListener } from '../../nodes/record-follower.js'
import type { KeyedRecord, RecordCodec } from '../../types/ports.js'
import { monotonicNow } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'
import type { UpstreamPool } from './upstream-pool.js'

const log = logFor('instances')

/** Interval at which upstreams that were not listed again in time are deleted, milliseconds. */
export const staleCheckMilliseconds = lapseGraceMilliseconds / 5

/** Listener of the instance list; `heartbeatMilliseconds` is the interval at which instances renew their records. */
export class InstanceRecords implements RecordListener {
  private availability = unknownAvailability

  constructor (private readonly codec: RecordCodec, private readonly pool: UpstreamPool, private readonly heartbeatMilliseconds: number) {}

  confirmed (at: number): void {
    this.availability = recordConfirmation(this.availability, at, this.heartbeatMilliseconds)
  }

  record (record: KeyedRecord, isFirst: boolean): void {
    const { key, value } = record
    if (value === undefined) {
      this.pool.dropRecord(key, retainUntil(this.availability, monotonicNow(), this.heartbeatMilliseconds))
      return
    }
    const upstream = this.codec.upstream(key, value)
    if ('reason' in upstream) {
      log.warn('instance record ignored; its upstream is removed', { key, offset: record.offset, era: record.era, reason: upstream.reason })
      this.pool.dropRecord(key, 0)
    } else this.pool.putRecord(upstream, isFirst)
  }
}
