/**
 * Cost of an entry's decision in a ranked service against that in one that is not ranked: both are timed in turn in one process,
 * and the median ratio of many short rounds counts, so that a busy machine delays both.
 */
import { test } from 'tap'
import { orderQueue } from '../src/core/dispatch/queueing.js'
import { orderByPlace, ServiceOrder, type OrderedRequest } from '../src/core/dispatch/service-order.js'
import { SlotSearch } from '../src/core/dispatch/slot-requests.js'
import { EngineSlots } from '../src/roles/gateway/engine-slots.js'
import { UpstreamLimits } from '../src/roles/gateway/upstream-limits.js'
import { UpstreamPool } from '../src/roles/gateway/upstream-pool.js'
import type { Service } from '../src/types/fleet.js'
import type { PaceReport, SlotRelease, SlotRequest } from '../src/types/node-messages.js'

const engines = 32
const queued = 8
const [rounds, decisionsPerRound] = [60, 20] as const
const service: Service = { name: 'model-a', maximumConnections: 0, coldMilliseconds: 0, coldRequestsPerSecond: 36, engine: undefined, origin: undefined }

/** An entry before engines whose agents grant each slot. */
class DecidingEntry {
  private readonly asked: (SlotRequest | SlotRelease | PaceReport)[] = []
  private readonly slots = new EngineSlots({ send: message => { this.asked.push(message) }, answered: () => {} })
  private readonly pool: UpstreamPool
  private readonly order = new ServiceOrder()
  private readonly items: readonly { readonly number: number, readonly isLate: boolean, readonly order: OrderedRequest }[]

  constructor (entries: number, private readonly isRanked: boolean) {
    const instances = Array.from({ length: entries }, (_, index) => `entry-${index}`)
    this.pool = new UpstreamPool({
      instance: 'entry-1',
      dataCentre: 'zone-a',
      regionOf: new Map([['zone-a', 'north']]),
      cold: { factor: 1.5, slack: 5 },
      limits: new UpstreamLimits({ fleet: () => ({ self: 'entry-1', ready: ['entry-1'], silent: [], isSettled: true }), send: () => {}, startOf: () => undefined, coldRate: () => undefined }),
      slots: this.slots,
      entries: () => instances,
      knownEntries: () => instances,
      isEvacuated: () => false,
      isAdaptive: () => false,
      upstreamGone: () => {},
      upstreamLeaves: () => {}
    }, () => service)
    for (let number = 1; number <= engines; number += 1) {
      this.pool.putRecord({ id: `i-${number}`, service: 'model-a', address: `10.0.0.${number}:8080`, dataCentre: 'zone-a', slots: 12, isDraining: false, coldMilliseconds: 0, startedAt: 1000, weights: { model: 'weights-a', version: 1 }, isEngine: true }, false)
      this.pool.applyLoadReport({ kind: 'load', startedAt: 1000, orders: 0, running: 4, waiting: 0, model: 'weights-a', version: 1, isSwapping: false, readyInMilliseconds: 0 }, `10.0.0.${number}`)
    }
    this.items = Array.from({ length: queued }, (_, number) => ({ number, isLate: number % 2 === 0, order: { rank: number % 6, organisation: `organisation-${number}`, share: 1, work: 1000, isRetry: number % 2 === 0, deadline: number } }))
    for (const { order } of this.items) this.order.recordAsked(order, 0)
  }

  /** Orders the queue, has its first request ask, and takes a granted slot for it. */
  decide (): void {
    const now = performance.now()
    const [first] = this.isRanked ? orderByPlace(this.items, ({ order }) => order, this.order, now) : orderQueue(this.items)
    const search = new SlotSearch(this.isRanked ? first?.order : undefined)
    const requirements = { service, regions: undefined, admission: { requestsPerSlot: 1, waiting: 0 }, tried: new Set<string>(), minimumVersion: 1, streamVersion: undefined, search }
    this.pool.choose(requirements)
    for (const message of this.asked.splice(0)) if (message.kind === 'slot-request') this.pool.receiveSlotReply({ kind: 'slot-reply', number: message.number, load: 5, isGranted: true })
    const view = this.pool.choose(requirements)
    // On a busy machine a granted slot may lapse before it is used.
    if (typeof view === 'string') return
    this.pool.recordSent(view.upstream.id)
    if (this.isRanked && first !== undefined) this.order.recordGranted(first.order, now)
    this.pool.recordStarted(view.upstream.id)
    this.pool.recordEnded(view.upstream.id, 'good')
    this.slots.releaseAll(() => undefined)
  }
}

function timeOf (entry: DecidingEntry): number {
  const startedAt = process.hrtime.bigint()
  for (let index = 0; index < decisionsPerRound; index += 1) entry.decide()
  return Number(process.hrtime.bigint() - startedAt)
}

function medianOf (numbers: readonly number[]): number {
  return [...numbers].sort((left, right) => left - right)[Math.floor(numbers.length / 2)] ?? 0
}

for (const [entries, ratio] of [[8, 1.3], [300, 1.3]] as const) {
  test(`cost of a decision in a ranked service, ${entries} entries`, async t => {
    const [today, basic, ranked] = [new DecidingEntry(8, false), new DecidingEntry(entries, false), new DecidingEntry(entries, true)]
    const ratios = Array.from({ length: rounds }, () => ({ toEight: timeOf(ranked) / timeOf(today), toSame: timeOf(ranked) / timeOf(basic) }))
    const [toEight, toSame] = [medianOf(ratios.map(({ toEight }) => toEight)), medianOf(ratios.map(({ toSame }) => toSame))]
    t.comment(`${toEight.toFixed(2)} of the time with 8 entries, ${toSame.toFixed(2)} of that with ${entries}`)
    t.ok(toEight <= ratio, `${toEight.toFixed(2)} of the time of a service that is not ranked with 8 entries`)
    t.ok(toSame <= ratio, `${toSame.toFixed(2)} of the time of a service that is not ranked with as many entries`)
  })
}
