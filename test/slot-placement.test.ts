/** Where an entry sends a request whose engines' agents grant slots: after grants, denials, silence, and the loss or swap of an engine. */
import { test } from 'tap'
import { SlotSearch } from '../src/core/dispatch/slot-requests.js'
import { EngineSlots } from '../src/roles/gateway/engine-slots.js'
import { UpstreamLimits } from '../src/roles/gateway/upstream-limits.js'
import { UpstreamPool } from '../src/roles/gateway/upstream-pool.js'
import type { SelectionFailure, UpstreamRequirements } from '../src/roles/gateway/upstream-selection.js'
import type { UpstreamView } from '../src/roles/gateway/upstream-view.js'
import type { Service, Upstream } from '../src/types/fleet.js'
import type { PaceReport, SlotRelease, SlotRequest } from '../src/types/node-messages.js'

/** The time of a grant or an answer is some ten ms, so the monotonic clock advances only by `advance`, whatever the machine's load. */
let time = performance.now()
performance.now = () => time

function advance (milliseconds: number): void {
  time += milliseconds
}

const service: Service = { name: 'model-a', maximumConnections: 0, coldMilliseconds: 0, coldRequestsPerSecond: 36, engine: undefined, origin: undefined }
const upstreamOf = (number: number): Upstream => ({ id: `i-${number}`, service: 'model-a', address: `10.0.0.${number}:8080`, dataCentre: 'zone-a', slots: 8, isDraining: false, coldMilliseconds: 0, startedAt: 1000, weights: { model: 'weights-a', version: 1 }, isEngine: true })
const report = { kind: 'load', startedAt: 1000, orders: 0, running: 4, waiting: 0, model: 'weights-a', version: 1, isSwapping: false, readyInMilliseconds: 0 } as const
const ipOf = (number: number): string => `10.0.0.${number}`

/** An entry among 99 before two engines whose agents have reported half of their slots in use. */
class Placement {
  readonly sent: { readonly message: SlotRequest | SlotRelease | PaceReport, readonly ip: string }[] = []
  answeredSearches = 0
  readonly slots = new EngineSlots({ send: (message, ip) => { this.sent.push({ message, ip }) }, answered: () => { this.answeredSearches += 1 } })
  readonly pool = new UpstreamPool({
    instance: 'entry-1',
    dataCentre: 'zone-a',
    regionOf: new Map([['zone-a', 'north']]),
    cold: { factor: 1.5, slack: 5 },
    limits: new UpstreamLimits({ fleet: () => ({ self: 'entry-1', ready: ['entry-1'], silent: [], isSettled: true }), send: () => {}, startOf: () => undefined, coldRate: () => undefined }),
    slots: this.slots,
    entries: () => Array.from({ length: 99 }, (_, index) => `entry-${index}`),
    knownEntries: () => ['entry-1'],
    isEvacuated: () => false,
    isAdaptive: () => false,
    upstreamGone: () => {},
    upstreamLeaves: () => {}
  }, () => service, () => 0)

  constructor () {
    for (const number of [1, 2]) {
      this.pool.putRecord(upstreamOf(number), false)
      this.pool.applyLoadReport(report, ipOf(number))
    }
  }

  choose (search: SlotSearch | undefined, requestsPerSlot = 1): string {
    const requirements: UpstreamRequirements = { service, regions: undefined, admission: { requestsPerSlot, waiting: 0 }, tried: new Set(), minimumVersion: 1, streamVersion: undefined, search }
    const view: UpstreamView | SelectionFailure = this.pool.choose(requirements)
    if (typeof view === 'string') return view
    this.pool.recordSent(view.upstream.id)
    return view.upstream.id
  }

  /** Has an agent reply to the last request for a slot that it got. */
  reply (number: number, load: number, isGranted: boolean): void {
    const request = this.sent.filter(({ message, ip }) => message.kind === 'slot-request' && ip === ipOf(number)).at(-1)
    this.pool.receiveSlotReply({ kind: 'slot-reply', number: request?.message.kind === 'slot-request' ? request.message.number : 0, load, isGranted })
  }
}

test('slot placement: the share of one of 99 entries leaves no slot of half-empty engines, their agents do', async t => {
  const placement = new Placement()
  const search = new SlotSearch()
  t.equal(placement.choose(undefined), 'full', 'its share alone')
  t.equal(placement.choose(search), 'asked')
  t.same(placement.sent.map(({ message }) => message.kind), ['slot-request', 'slot-request'])
  t.equal(placement.choose(search), 'asked', 'it asks once')
  t.equal(placement.sent.length, 2)
  placement.reply(1, 7, true)
  t.equal(placement.answeredSearches, 0)
  placement.reply(2, 5, true)
  t.equal(placement.answeredSearches, 1)
  t.equal(placement.choose(search), 'i-2', 'the less loaded one')
  placement.slots.releaseAll(id => placement.pool.find(id)?.upstream.address)
  t.match(placement.sent.at(-1), { message: { kind: 'slot-release' }, ip: ipOf(1) })
})

const replies: readonly { readonly name: string, readonly play: (placement: Placement, search: SlotSearch) => void, readonly requestsPerSlot?: number, readonly is: string }[] = [
  { name: 'no slot anywhere', play: placement => { placement.reply(1, 8, false); placement.reply(2, 8, false) }, is: 'full' },
  { name: 'a slot that a late request may not use', play: placement => { placement.reply(1, 7, true); placement.reply(2, 8, false) }, requestsPerSlot: 0.75, is: 'full' },
  { name: 'a slot of an engine that is removed meanwhile', play: placement => { placement.reply(1, 5, true); placement.reply(2, 8, false); placement.pool.dropRecord('i-1', 0) }, is: 'full' },
  { name: 'a slot of an engine that swaps its weights meanwhile', play: placement => { placement.reply(1, 5, true); placement.reply(2, 8, false); placement.pool.applyLoadReport({ ...report, isSwapping: true }, ipOf(1)) }, is: 'full' },
  { name: 'a slot that was not used in time', play: placement => { placement.reply(1, 5, true); placement.reply(2, 8, false); advance(30) }, is: 'asked' },
  { name: 'one agent is silent', play: placement => { placement.reply(1, 5, true); advance(10) }, is: 'i-1' },
  { name: 'all agents are silent, and the share leaves a slot', play: placement => { for (const number of [1, 2]) placement.pool.applyLoadReport({ ...report, running: 0 }, ipOf(number)); advance(60); placement.pool.recordEnded('i-1', 'none') }, is: 'i-1' }
]

for (const { name, play, requestsPerSlot, is } of replies) {
  test(`slot placement: ${name}`, async t => {
    const placement = new Placement()
    const search = new SlotSearch()
    placement.choose(search)
    play(placement, search)
    t.equal(placement.choose(search, requestsPerSlot), is)
  })
}
