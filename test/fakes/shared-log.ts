/** Log of keyed records in memory, which the nodes of other data centres read over a narrow link that they share. */
import type { LogPosition } from '../../src/core/log-position.js'
import { RecordLog, type KeyedRecord, type NewestRecords, type ReadCost, type RecordPage, type StreamName } from '../../src/types/ports.js'
import { monotonicNow, sleepUntil } from '../../src/utils/clock.js'

/** Capacity of the link of a data centre, bytes per second: 16 Mbit/s. */
export const linkBytesPerSecond = 2_000_000

/** Additional round trip to the log from other data centres, milliseconds. */
const remoteMilliseconds = 8

/** Link between the log and one data centre; transfers follow one after another. */
class NarrowLink {
  bytes = 0
  private freeAt = 0

  async transfer (bytes: number): Promise<void> {
    this.bytes += bytes
    this.freeAt = Math.max(this.freeAt, monotonicNow()) + bytes / linkBytesPerSecond * 1000
    await sleepUntil(this.freeAt)
  }
}

/** The log; nodes read it through `readerIn`. */
export class SharedLog {
  /** Nodes whose reads and writes fail. */
  readonly unreachableFrom = new Set<string>()
  /** Rises when the log comes back from an older copy. */
  era = 0
  /** Whether the log fails for every node. */
  isUnavailable = false
  /** Number of reads of the newest records of each key to fail. */
  newestReadsToFail = 0
  private readonly records = new Map<StreamName, KeyedRecord[]>()
  private readonly firstOffsets = new Map<StreamName, number>()
  private readonly links = new Map<string, NarrowLink>()
  private readonly wakeReaders = new Set<() => void>()

  /** `homeDataCentre` is the one in which the log runs; its nodes read without a narrow link. */
  constructor (private readonly homeDataCentre: string) {}

  append (stream: StreamName, key: string, value: Buffer | undefined): void {
    const records = this.stream(stream)
    records.push({ key, value, offset: records.length, era: this.era })
    for (const wake of [...this.wakeReaders]) wake()
  }

  /** Comes back from a copy that holds the records of a stream before the offset `end`: those after it are lost, and their offsets are given out again. */
  comeBackFromCopy (stream: StreamName, end: number): void {
    this.stream(stream).splice(end)
    this.era += 1
    for (const name of this.records.keys()) this.records.set(name, this.stream(name).map(record => ({ ...record, era: this.era })))
    for (const wake of [...this.wakeReaders]) wake()
  }

  /** Lets all records written so far expire; the newest of each key remain. */
  expire (stream: StreamName): void {
    this.firstOffsets.set(stream, this.stream(stream).length)
    for (const wake of [...this.wakeReaders]) wake()
  }

  /** Whether the log does not have all records from a position on, as it has none of another era. */
  isExpired (stream: StreamName, { era, offset }: LogPosition): boolean {
    return era !== this.era || offset < (this.firstOffsets.get(stream) ?? 0)
  }

  /** The log as a node reads it. */
  readerIn (dataCentre: string, instance: string): RecordLog {
    return new SharedLogReader(this, dataCentre, instance)
  }

  stream (name: StreamName): KeyedRecord[] {
    const known = this.records.get(name) ?? []
    this.records.set(name, known)
    return known
  }

  /** Bytes that nodes of a data centre have read from the log so far, outside the log's own data centre. */
  bytesReadIn (dataCentre: string): number {
    return this.links.get(dataCentre)?.bytes ?? 0
  }

  /** Delivers records to a data centre; returns what it cost. */
  async deliver (dataCentre: string, records: readonly KeyedRecord[]): Promise<ReadCost> {
    const startedAt = monotonicNow()
    const bytes = records.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
    if (dataCentre !== this.homeDataCentre) {
      const link = this.links.get(dataCentre) ?? new NarrowLink()
      this.links.set(dataCentre, link)
      await sleepUntil(monotonicNow() + remoteMilliseconds)
      await link.transfer(bytes)
    }
    const superseded = records.length - new Set(records.map(({ key }) => key)).size
    return { bytes, firstByteMilliseconds: 0, milliseconds: monotonicNow() - startedAt, records: records.length, superseded }
  }

  /** Resolves with the next append, or at `deadline`, milliseconds of the monotonic clock. */
  nextAppend (deadline: number): Promise<void> {
    return new Promise(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        this.wakeReaders.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, Math.max(0, deadline - monotonicNow()))
      this.wakeReaders.add(finish)
    })
  }
}

class SharedLogReader extends RecordLog {
  private isClosed = false

  constructor (private readonly log: SharedLog, private readonly dataCentre: string, private readonly instance: string) {
    super()
  }

  async newest (stream: StreamName): Promise<NewestRecords> {
    this.checkReachable()
    if (this.log.newestReadsToFail > 0) {
      this.log.newestReadsToFail -= 1
      throw new Error('the log does not answer')
    }
    const all = this.log.stream(stream)
    const next = all.length
    const records = [...new Map(all.map(record => [record.key, record])).values()].filter(({ value }) => value !== undefined)
    return { records, next: { era: this.log.era, offset: next }, cost: await this.log.deliver(this.dataCentre, records) }
  }

  async read (stream: StreamName, position: LogPosition, waitUntil: number, limit: number): Promise<RecordPage> {
    const { offset: from } = position
    this.checkReachable()
    while (!this.log.isExpired(stream, position) && this.log.stream(stream).length <= from && monotonicNow() < waitUntil) await this.log.nextAppend(waitUntil)
    this.checkReachable()
    if (this.log.isExpired(stream, position)) return { kind: 'expired' }
    const records = this.log.stream(stream).slice(from, from + limit)
    return { kind: 'records', records, next: { era: this.log.era, offset: from + records.length }, end: this.log.stream(stream).length, cost: await this.log.deliver(this.dataCentre, records) }
  }

  async write (stream: StreamName, key: string, value: Buffer): Promise<void> {
    this.checkReachable()
    this.log.append(stream, key, value)
  }

  override close (): void {
    this.isClosed = true
  }

  private checkReachable (): void {
    if (this.isClosed || this.log.isUnavailable || this.log.unreachableFrom.has(this.instance)) throw new Error('the log refuses this node')
  }
}
