/** Slots that agents grant to entries: on replays of many entries before few slots, and by the entry's and the agent's own modules. */
import { test } from 'tap'
import { completionIntervalMilliseconds } from '../src/core/dispatch/admission.js'
import { SlotLedger } from '../src/core/dispatch/slot-ledger.js'
import { SlotRequests, SlotSearch } from '../src/core/dispatch/slot-requests.js'
import { replayLoad, type ReplayLoad, type ReplayOutcome } from './fakes/engine-replay.js'
import { sumOutcomes } from './fakes/replay-outcome.js'
import { replayEngine } from './fakes/replay-engine.js'

const slots = 8
/** Largest share of the requests that may be served less within the goal than by one entry that sends all of them. */
const maximumLoss = 0.03
/** Messages a second between entries and agents where each agent reports to each entry every 100 ms. */
const reportsPerSecond = 10
const milliseconds = 6000

function arrivalsPerSecond (engines: number, load: number): number {
  return engines * load * 1000 / completionIntervalMilliseconds({ ...replayEngine, slots })
}

/** Share served within the goal, and other figures, summed over seeds. */
function replaySeeds (load: Omit<ReplayLoad, 'seed' | 'milliseconds' | 'slots'>, seeds: number): ReplayOutcome & { readonly share: number } {
  const outcomes = Array.from({ length: seeds }, (_, index) => replayLoad({ ...load, slots, milliseconds, seed: index + 1 }))
  const sum = sumOutcomes(outcomes)
  return { ...sum, share: sum.onTime / sum.requests }
}

for (const [engines, seeds] of [[5, 12], [24, 3], [63, 2]] as const) {
  for (const load of [0.5, 0.85, 1.1]) {
    const fleet = { engines, arrivalsPerSecond: arrivalsPerSecond(engines, load) }
    const single = replaySeeds({ ...fleet, entries: 1 }, seeds)
    for (const entries of [8, 40, 99, 300]) {
      test(`slots granted: ${entries} entries before ${engines} engines at ${load} of their capacity`, async t => {
        const granted = replaySeeds({ ...fleet, entries, placement: 'grants', reportMilliseconds: 1000 }, seeds)
        t.ok(granted.share >= single.share - maximumLoss, `${granted.share.toFixed(3)} within the goal, ${single.share.toFixed(3)} with one entry`)
        if (load < 0.9) t.ok(granted.refusedBesideFreeSlots <= granted.requests * 0.01, `${granted.refusedBesideFreeSlots} of ${granted.requests} refused while a tenth of the slots was free`)
        if (entries >= 8 && load < 1) t.ok(granted.messages <= engines * entries * reportsPerSecond * milliseconds / 1000 * seeds, `${granted.messages} messages`)
      })
    }
  }
}

const now = 10_000
const ledgerCases: readonly { readonly name: string, readonly play: (ledger: SlotLedger) => void, readonly at?: number, readonly answer: { readonly load: number, readonly isGranted: boolean } | undefined }[] = [
  { name: 'a free slot', play: ledger => { ledger.recordCount(3, now) }, answer: { load: 4, isGranted: true } },
  { name: 'none at capacity', play: ledger => { ledger.recordCount(8, now) }, answer: { load: 8, isGranted: false } },
  { name: 'none that another entry was granted', play: ledger => { ledger.recordCount(7, now); ledger.answer('other', 8, now) }, answer: { load: 8, isGranted: false } },
  { name: 'one that another entry gave back', play: ledger => { ledger.recordCount(7, now); ledger.answer('other', 8, now); ledger.release('other', now) }, answer: { load: 8, isGranted: true } },
  { name: 'a grant that the engine may not count yet', play: ledger => { ledger.recordCount(7, now); ledger.answer('other', 8, now); ledger.recordCount(7, now + 10) }, at: now + 10, answer: { load: 8, isGranted: false } },
  { name: 'a grant that the engine counts', play: ledger => { ledger.recordCount(6, now); ledger.answer('other', 8, now); ledger.recordCount(7, now + 100) }, at: now + 100, answer: { load: 8, isGranted: true } },
  { name: 'no answer before the first count', play: () => {}, answer: undefined },
  { name: 'no answer once the engine is silent', play: ledger => { ledger.recordCount(3, now) }, at: now + 600, answer: undefined }
]

for (const { name, play, at = now, answer } of ledgerCases) {
  test(`slot ledger: ${name}`, async t => {
    const ledger = new SlotLedger()
    play(ledger)
    t.same(ledger.answer('entry', slots, at), answer)
  })
}

test('slot requests: a slot is used once, within the limit that it was granted for, and for a short time', async t => {
  const requests = new SlotRequests()
  const search = new SlotSearch()
  t.ok(requests.mayAsk(search, now))
  const first = requests.ask(search, 'i-1', now)
  const second = requests.ask(search, 'i-2', now)
  t.notOk(requests.mayAsk(search, now + 1))
  t.notOk(requests.receive(first, { load: 7, isGranted: true }, now + 4), 'another agent has not answered')
  t.ok(requests.receive(second, { load: 8, isGranted: false }, now + 5))
  t.equal(requests.heldAt('i-1', 6, now + 5), undefined, 'a late request may not use it')
  t.equal(requests.heldAt('i-2', 8, now + 5), undefined)
  t.equal(requests.heldAt('i-1', 8, now + 100), undefined, 'it has lapsed')
  const held = requests.heldAt('i-1', 8, now + 5)
  t.match(held, { upstreamId: 'i-1', load: 7 })
  if (held !== undefined) requests.take(held)
  t.equal(requests.heldAt('i-1', 8, now + 5), undefined)
  t.notOk(requests.receive(first, { load: 7, isGranted: true }, now + 6), 'an answer counts once')
})

test('slot requests: an agent that does not answer is not asked for a while, until it answers', async t => {
  const requests = new SlotRequests()
  requests.ask(new SlotSearch(), 'i-1', now)
  t.notOk(requests.isSilent('i-1', now + 10))
  t.ok(requests.isSilent('i-1', now + 50))
  t.notOk(requests.isSilent('i-2', now + 50))
  t.notOk(requests.isSilent('i-1', now + 1500))
})
