/** Records of the log as an entry follows them: the operators', the instance list, and the entries that announced themselves. */
import type { ServerResponse } from 'node:http'
import { isIPv4 } from 'node:net'
import { isInLog, type LogPosition } from '../../core/log-position.js'
import type { Member, Membership } from '../../core/fleet/members.js'
import { orderSources, type PreferredSource } from '../../core/fleet/record-sources.js'
import { RecordFeed, type FedStream } from '../../nodes/record-feed.js'
import { RecordFollower, type RecordListener } from '../../nodes/record-follower.js'
import { SelectedRecordLog } from '../../nodes/selected-record-log.js'
import { ReadMetrics } from '../../nodes/read-metrics.js'
import type { Metrics } from '../../plugins/metrics.js'
import type { GatewaySettings } from '../../types/node-settings.js'
import type { RecordLog } from '../../types/ports.js'
import { runInBackground } from '../../utils/background.js'
import { monotonicNow, sleepUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('records')

/** Shortest time between two reads of a stream, milliseconds: changes in quick succession are read together. */
const pauseMilliseconds = { operators: 100, instances: 200 } as const
/** Longest wait of a read of the log, milliseconds. */
const logWaitMilliseconds = 500
/** Longest wait of any read, milliseconds. */
const readWaitMilliseconds = 1000
/** Time at the start in which entries that announced themselves in the log count as members, milliseconds: gossip needs a few rounds. */
const announcedMilliseconds = 5000
/** Time for the first look at the entries' records before the followers start without it, milliseconds. */
const announcementTimeoutMilliseconds = 1500
const announcementRetryMilliseconds = 1000
/** Time over which entries write their records again after the log came back from an older copy, milliseconds. */
const announcedAgainMilliseconds = 2000
/** Round trips to the log that are measured at the start. */
const measuredRoundTrips = 3

/** What the records are applied to, and the entry's membership. */
export interface FleetRecordsContext {
  readonly log: RecordLog
  readonly settings: GatewaySettings
  readonly members: Membership
  readonly metrics: Metrics
  readonly operators: RecordListener
  readonly instances: RecordListener
  /** Called with the IP of each entry that is found in the log. */
  onEntryFound (ip: string): void
}

/** Followers of both streams, the feed for other entries, and this entry's own record. */
export class FleetRecords {
  readonly operators: RecordFollower
  readonly instances: RecordFollower
  private readonly feed: RecordFeed
  private readonly selected = new Map<FedStream, SelectedRecordLog>()
  private announced: readonly Member[] = []
  /** Until when `announced` counts, milliseconds of the monotonic clock. */
  private announcedUntil = 0
  /** Era of the log before this entry's record was written; undefined before that. */
  private announcedAfter: number | undefined
  private isStopped = false

  constructor (private readonly context: FleetRecordsContext) {
    this.operators = this.follow('operators', {
      record: (record, isFirst, read) => { context.operators.record(record, isFirst, read) },
      confirmed: at => { context.operators.confirmed(at) },
      eraRead: era => { this.announceAgainIn(era) }
    })
    this.instances = this.follow('instances', context.instances)
    this.feed = new RecordFeed({ operators: this.operators, instances: this.instances }, stream => this.selected.get(stream)?.source ?? '', stream => this.selected.get(stream)?.readingSince)
  }

  /** Looks for other entries, then follows both streams until `stop`. */
  async run (): Promise<void> {
    const announcement = this.announce()
    await Promise.race([announcement, sleepUntil(monotonicNow() + announcementTimeoutMilliseconds)])
    await Promise.all([announcement, this.operators.run(), this.instances.run()])
  }

  stop (): void {
    this.isStopped = true
    this.operators.stop()
    this.instances.stop()
    for (const selected of this.selected.values()) selected.close()
  }

  /** Whether this entry reads a stream from the log itself, rather than from another entry. */
  readsLog (stream: FedStream): boolean {
    return this.selected.get(stream)?.source === 'log'
  }

  /** Answers another entry's request for records. */
  serve (target: string, response: ServerResponse): void {
    runInBackground(this.feed.serve(target, response), log, 'serve records')
  }

  private follow (stream: FedStream, listener: RecordListener): RecordFollower {
    const { log: records, settings, metrics } = this.context
    const selected = new SelectedRecordLog({
      instance: settings.instance,
      stream,
      log: records,
      internalPort: settings.internalPort,
      logWaitMilliseconds,
      metrics: new ReadMetrics(metrics, stream),
      sources: () => this.sources(),
      readLate: (read, from) => { follower.receiveRecords(read, from) }
    })
    this.selected.set(stream, selected)
    const follower = new RecordFollower(selected, stream, { pause: pauseMilliseconds[stream], wait: readWaitMilliseconds }, listener, metrics)
    return follower
  }

  private sources (): readonly PreferredSource[] {
    const { members } = this.context
    const now = monotonicNow()
    const others = members.living(now).filter(({ instance }) => instance !== members.self.instance)
    const known = new Set(others.map(({ instance }) => instance))
    const announced = now < this.announcedUntil ? this.announced.filter(({ instance }) => !known.has(instance)) : []
    // An entry that stops goes on reading for those that have not yet turned to another one.
    const hasRecords = isInLog(this.operators.state.next) && isInLog(this.instances.state.next)
    return orderSources({ ...members.self, isReady: hasRecords }, [...others, ...announced])
  }

  /** Reads which entries there are and writes this entry's record, so that later ones find it without a seed; then measures the way to the log. */
  private async announce (): Promise<void> {
    const { log: records, members } = this.context
    while (!this.isStopped) {
      try {
        const { records: entries, next } = await records.newest('entries')
        this.announced = entries.flatMap(({ value }) => decodeMember(value) ?? []).filter(({ instance }) => instance !== members.self.instance)
        this.announcedUntil = monotonicNow() + announcedMilliseconds
        this.announcedAfter = next.era
        for (const { ip } of this.announced) this.context.onEntryFound(ip)
        runInBackground(this.writeAndMeasure(next), log, 'announce this entry')
        return
      } catch (error) {
        log.warn('reading the records of entries failed; retrying', { reason: String(error) })
        await sleepUntil(monotonicNow() + announcementRetryMilliseconds)
      }
    }
  }

  private async writeAndMeasure (next: LogPosition): Promise<void> {
    const { log: records, members } = this.context
    let isWritten = false
    while (!this.isStopped && !isWritten) {
      try {
        for (let count = 0; count < measuredRoundTrips; count += 1) {
          const startedAt = monotonicNow()
          await records.read('entries', next, startedAt, 1)
          members.recordLogDelay(monotonicNow() - startedAt)
        }
        await this.writeOwnRecord()
        isWritten = true
      } catch (error) {
        log.warn('announcing this entry in the log failed; retrying', { reason: String(error) })
        await sleepUntil(monotonicNow() + announcementRetryMilliseconds)
      }
    }
  }

  /** Writes this entry's record again if the one that it wrote may be of an earlier era. */
  private announceAgainIn (era: number): void {
    if (this.announcedAfter === undefined || era <= this.announcedAfter) return
    this.announcedAfter = era
    runInBackground(this.announceAgain(), log, 'announce this entry again')
  }

  /** Writes this entry's record once more, at a random time so that the entries do not all write at once. */
  private async announceAgain (): Promise<void> {
    await sleepUntil(monotonicNow() + Math.random() * announcedAgainMilliseconds)
    while (!this.isStopped) {
      try {
        await this.writeOwnRecord()
        log.info('announced this entry again, since the log came back from an older copy')
        return
      } catch (error) {
        log.warn('announcing this entry again failed; retrying', { reason: String(error) })
        await sleepUntil(monotonicNow() + announcementRetryMilliseconds)
      }
    }
  }

  private async writeOwnRecord (): Promise<void> {
    const { log: records, members, settings } = this.context
    await records.write('entries', `entry/${settings.instance}`, Buffer.from(JSON.stringify(members.self)))
  }
}

/** Decodes an entry's record; undefined when it is malformed. */
function decodeMember (value: Buffer | undefined): Member | undefined {
  if (value === undefined) return undefined
  try {
    const member = JSON.parse(value.toString()) as Partial<Member>
    if (typeof member.ip !== 'string' || !isIPv4(member.ip) || typeof member.instance !== 'string' || typeof member.dataCentre !== 'string') return undefined
    const { instance, ip, callers = '', dataCentre, region = '', incarnation = 0 } = member
    return { instance, ip, callers, dataCentre, region, incarnation, beat: 0, isReady: false, logDelayMilliseconds: typeof member.logDelayMilliseconds === 'number' ? member.logDelayMilliseconds : -1 }
  } catch {
    return undefined
  }
}
