/** The agent's lease on the engine of its instance: a record in the log that takes effect once it is read back. */
import { randomUUID } from 'node:crypto'
import { foldLease, mayOrder, needsNewLease, noLease, type LeaseState } from '../../core/engine-orders.js'
import { streams, type LogClient } from '../../transports/log-client.js'
import { leaseRecordSchema, type LeaseRecord } from '../../types/configuration.js'
import type { StreamPage } from '../../types/platform.js'
import { runInBackground } from '../../utils/background.js'
import { waitUntil } from '../../utils/clock.js'
import { logFor } from '../../utils/log.js'

const log = logFor('orders')
const pollMilliseconds = 2000
const retryDelayMilliseconds = 500
const appendTimeoutMilliseconds = 3000

/** Acquires the lease and detects when another agent has acquired it. */
export class InstanceLease {
  private view: LeaseState = noLease
  private next = 0
  private record: LeaseRecord
  private readonly stopping = new AbortController()

  constructor (private readonly client: LogClient, instance: string, incarnation: string, private readonly onChange: () => void) {
    this.record = { type: 'lease', id: randomUUID(), instance, incarnation }
  }

  start (): void {
    runInBackground(this.followStream(), log, 'follow the lease stream')
    runInBackground(this.acquire(), log, 'acquire the lease')
  }

  stop (): void {
    this.stopping.abort()
  }

  /** Fencing token of orders, undefined while the agent may not send orders. */
  get fence (): number | undefined {
    return mayOrder(this.view) ? this.view.fence : undefined
  }

  /** Whether another agent has acquired the lease; this agent never serves again. */
  get isSuperseded (): boolean {
    return this.view.isSuperseded
  }

  /** Appends a record until one is read back that took effect; records with an id that was seen before are ignored. */
  private async acquire (): Promise<void> {
    while (this.view.fence === undefined && !this.stopping.signal.aborted) {
      try {
        if (this.record.after === undefined || needsNewLease(this.view, this.record.id)) await this.renewRecord()
        await this.client.append(streams.leases, [JSON.stringify(this.record)], Date.now() + appendTimeoutMilliseconds)
        await waitUntil(Date.now() + pollMilliseconds, this.stopping.signal)
      } catch {
        await waitUntil(Date.now() + retryDelayMilliseconds, this.stopping.signal)
      }
    }
  }

  /** Reads all leases, then makes a record that takes effect unless another lease of the instance is written before it. */
  private async renewRecord (): Promise<void> {
    let end = Infinity
    while (this.next < end) {
      const page = await this.client.read(streams.leases, this.next, Date.now())
      end = page.next
      this.applyPage(page)
      if (page.records.length === 0) break
    }
    this.record = { ...this.record, id: randomUUID(), after: this.next }
  }

  private applyPage (page: StreamPage): void {
    for (const { offset, body } of page.records) if (offset >= this.next) this.fold(offset, body)
    this.next = Math.max(this.next, page.first, (page.records.at(-1)?.offset ?? -1) + 1)
  }

  private async followStream (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        this.applyPage(await this.client.read(streams.leases, this.next, Date.now() + pollMilliseconds))
      } catch {
        await waitUntil(Date.now() + retryDelayMilliseconds, this.stopping.signal)
      }
    }
  }

  private fold (offset: number, body: string): void {
    const record = parseLease(body)
    if (record === undefined) return
    const before = this.view
    this.view = foldLease(before, this.record.instance, this.record.id, offset, record)
    if (this.view === before) return
    if (this.view.isSuperseded && !before.isSuperseded) log.warn('another agent holds the lease of this instance')
    this.onChange()
  }
}

function parseLease (body: string): LeaseRecord | undefined {
  try {
    return leaseRecordSchema.safeParse(JSON.parse(body)).data
  } catch {
    return undefined
  }
}
