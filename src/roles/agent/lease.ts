/** The agent's lease on the engine of its instance: a record in the log that takes effect once it is read back. */
import { randomUUID } from 'node:crypto'
import { foldLease, mayOrder, noLease, type LeaseState } from '../../core/engine-orders.js'
import { streams, type LogClient } from '../../transports/log-client.js'
import { leaseRecordSchema, type LeaseRecord } from '../../types/configuration.js'
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
  private readonly record: LeaseRecord
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

  /** Appends the record until it is read back; records with an id that was seen before are ignored. */
  private async acquire (): Promise<void> {
    while (this.view.fence === undefined && !this.stopping.signal.aborted) {
      try {
        await this.client.append(streams.leases, [JSON.stringify(this.record)], Date.now() + appendTimeoutMilliseconds)
        await waitUntil(Date.now() + pollMilliseconds, this.stopping.signal)
      } catch {
        await waitUntil(Date.now() + retryDelayMilliseconds, this.stopping.signal)
      }
    }
  }

  private async followStream (): Promise<void> {
    while (!this.stopping.signal.aborted) {
      try {
        const page = await this.client.read(streams.leases, this.next, Date.now() + pollMilliseconds)
        for (const { offset, body } of page.records) this.fold(offset, body)
        this.next = Math.max(this.next, page.first, (page.records.at(-1)?.offset ?? -1) + 1)
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
