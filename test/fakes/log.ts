/** Log in memory, with outages, expiry of records and lost answers. */
import { LogClient } from '../../src/transports/log-client.js'
import type { StoredRecord, StreamPage } from '../../src/types/platform.js'

/** The log; each instance reads and appends through its own client. */
export class FakeLog {
  /** Whether the log fails all reads and appends. */
  isUnavailable = false
  /** Additional duration of each read, milliseconds. */
  readDelayMilliseconds = 0
  /** Number of appends to fail after they took effect. */
  appendAnswersToDrop = 0
  /** Instances that cannot reach the log. */
  readonly cut = new Set<string>()
  /** Number of reads by instance. */
  readonly reads = new Map<string, number>()
  readonly records: StoredRecord[] = []
  /** Oldest offset that is still retained. */
  first = 0
  private readonly waiting = new Set<() => void>()

  get next (): number {
    return this.first + this.records.length
  }

  clientOf (instance: string): LogClient {
    return new FakeLogClient(this, instance)
  }

  /** Appends records, ends the waits of pending reads and returns the offsets. */
  append (...bodies: readonly string[]): readonly number[] {
    const offsets = bodies.map(body => this.records.push({ offset: this.next, at: Date.now(), body }) + this.first - 1)
    for (const wake of this.waiting) wake()
    return offsets
  }

  /** Deletes the records before `offset`. */
  expireBefore (offset: number): void {
    this.records.splice(0, offset - this.first)
    this.first = offset
  }

  async read (instance: string, from: number, waitUntil: number): Promise<StreamPage> {
    this.reads.set(instance, (this.reads.get(instance) ?? 0) + 1)
    this.assertReachable(instance)
    if (this.readDelayMilliseconds > 0) await new Promise(resolve => setTimeout(resolve, this.readDelayMilliseconds))
    if (from >= this.next && waitUntil > Date.now()) await this.change(waitUntil)
    this.assertReachable(instance)
    return { first: this.first, next: this.next, records: this.records.slice(Math.max(0, from - this.first)).slice(0, 100) }
  }

  /** Throws if the instance cannot reach the log. */
  assertReachable (instance: string): void {
    if (this.isUnavailable || this.cut.has(instance)) throw new Error('the log cannot be reached')
  }

  /** Resolves at the next append or at `waitUntil`, epoch milliseconds. */
  private change (waitUntil: number): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.waiting.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitUntil - Date.now())
      this.waiting.add(wake)
    })
  }
}

class FakeLogClient extends LogClient {
  constructor (private readonly log: FakeLog, private readonly instance: string) {
    super()
  }

  async read (_stream: string, from: number, waitUntil: number): Promise<StreamPage> {
    return await this.log.read(this.instance, from, waitUntil)
  }

  async append (_stream: string, bodies: readonly string[]): Promise<readonly number[]> {
    this.log.assertReachable(this.instance)
    const offsets = this.log.append(...bodies)
    if (this.log.appendAnswersToDrop === 0) return offsets
    this.log.appendAnswersToDrop -= 1
    throw new Error('the answer was lost')
  }
}
