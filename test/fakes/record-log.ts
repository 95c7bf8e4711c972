/** Log of keyed records in memory, which several nodes read, with failures by instance and expiry of records. */
import { RecordLog, type KeyedRecord, type RecordPage, type StreamName } from '../../src/types/ports.js'
import { monotonicNow, sleepUntil } from '../../src/utils/clock.js'

/** Records of all streams; each entry reads them through its own client. */
export class SharedLog {
  /** Instances whose reads fail; `all` stands for every one. */
  readonly failing = new Set<string>()
  /** Number of reads of the newest records to fail. */
  newestReadsToFail = 0
  private readonly records: Record<StreamName, KeyedRecord[]> = { operators: [], instances: [], entries: [] }
  private readonly firstOffset: Record<StreamName, number> = { operators: 0, instances: 0, entries: 0 }

  append (stream: StreamName, key: string, value: object | undefined): void {
    this.records[stream].push({ key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)), offset: this.records[stream].length })
  }

  /** Lets all records written so far expire; the newest of each key remain readable with `newest`. */
  expire (stream: StreamName): void {
    this.firstOffset[stream] = this.records[stream].length
  }

  clientOf (instance: string): RecordLog {
    return new LogClient(this, instance)
  }

  checkAvailable (instance: string): void {
    if (this.failing.has(instance) || this.failing.has('all')) throw new Error('read ECONNRESET')
  }

  newest (stream: StreamName): { readonly records: readonly KeyedRecord[], readonly next: number } {
    if (this.newestReadsToFail > 0) {
      this.newestReadsToFail -= 1
      throw new Error('read ECONNRESET')
    }
    const newest = new Map(this.records[stream].map(record => [record.key, record]))
    return { records: [...newest.values()].filter(({ value }) => value !== undefined), next: this.records[stream].length }
  }

  page (stream: StreamName, from: number): RecordPage {
    if (from < this.firstOffset[stream]) return { kind: 'expired' }
    return { kind: 'records', records: this.records[stream].slice(from), next: this.records[stream].length }
  }
}

class LogClient extends RecordLog {
  constructor (private readonly log: SharedLog, private readonly instance: string) {
    super()
  }

  async newest (stream: StreamName): Promise<{ readonly records: readonly KeyedRecord[], readonly next: number }> {
    this.log.checkAvailable(this.instance)
    return this.log.newest(stream)
  }

  async read (stream: StreamName, from: number, waitUntil: number): Promise<RecordPage> {
    for (;;) {
      this.log.checkAvailable(this.instance)
      const page = this.log.page(stream, from)
      if (page.kind === 'expired' || page.records.length > 0 || monotonicNow() >= waitUntil) return page
      await sleepUntil(monotonicNow() + 10)
    }
  }

  async write (): Promise<void> {}
}
