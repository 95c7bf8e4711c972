/**
 * Competing organisations and kinds of requests on replays without a network, against one global queue: guards against callers who starve,
 * against less urgent kinds that are served better, and against capacity that is lost to the order of service.
 */
import { test } from 'tap'
import { replayContention, type ContentionMode, type ContentionOutcome, type Tally } from './fakes/contention-replay.js'

/** Least service of an organisation, as part of that of all organisations that ask for no more than their share. */
const organisationPart = 0.5
/** By how much a kind may be served less often than a less urgent one. */
const kindMargin = 0.02
/** Least service of the largest tenth of a kind's prompts, as part of that of the kind. */
const largestPart = 0.8
/** By how much less may be served than by one global queue. */
const totalMargin = 0.03
/** Organisations that ask for far more than their share. */
const largeOrganisations = 4
const seeds = [1, 2, 3]

type Sums = Pick<ContentionOutcome, 'all' | 'organisations' | 'kinds' | 'largest' | 'messages'>

function sumOf (tallies: readonly Tally[]): Tally {
  return tallies.reduce((sum, { asked, served, onTime }) => ({ asked: sum.asked + asked, served: sum.served + served, onTime: sum.onTime + onTime }), { asked: 0, served: 0, onTime: 0 })
}

function shareOf ({ served, asked }: Tally): number {
  return served / Math.max(1, asked)
}

function replay (mode: ContentionMode, entries: number, load: number): Sums {
  const outcomes = seeds.map(seed => replayContention({ mode, entries, load, seed }))
  const across = (name: 'organisations' | 'kinds' | 'largest'): readonly Tally[] => outcomes[0]?.[name].map((_, index) => sumOf(outcomes.flatMap(outcome => outcome[name][index] ?? []))) ?? []
  return { all: sumOf(outcomes.map(({ all }) => all)), organisations: across('organisations'), kinds: across('kinds'), largest: across('largest'), messages: outcomes.reduce((sum, { messages }) => sum + messages, 0) }
}

for (const load of [0.8, 1.1, 1.5, 2.0]) {
  const single = replay('single', 1, load)
  for (const entries of [8, 24, 67, 300]) {
    const ordered = replay('order', entries, load)
    const name = `contention: ${entries} entries at ${load} of the capacity`
    test(`${name}, organisations`, async t => {
      const modest = shareOf(sumOf(ordered.organisations.slice(largeOrganisations)))
      for (const [index, organisation] of ordered.organisations.entries()) t.ok(shareOf(organisation) >= modest * organisationPart, `organisation ${index}: ${shareOf(organisation).toFixed(3)}, ${modest.toFixed(3)} of the modest ones`)
    })
    test(`${name}, kinds`, async t => {
      for (const [index, kind] of ordered.kinds.slice(1).entries()) t.ok(shareOf(ordered.kinds[index] ?? kind) >= shareOf(kind) - kindMargin, `kind ${index}: ${ordered.kinds.map(shareOf).join(' ')}`)
    })
    test(`${name}, largest prompts`, async t => {
      for (const [index, largest] of ordered.largest.entries()) t.ok(shareOf(largest) >= shareOf(ordered.kinds[index] ?? largest) * largestPart, `kind ${index}: ${shareOf(largest).toFixed(3)}`)
    })
    test(`${name}, all requests`, async t => {
      t.ok(shareOf(ordered.all) >= shareOf(single.all) - totalMargin, `${shareOf(ordered.all).toFixed(3)}, one queue ${shareOf(single.all).toFixed(3)}`)
    })
  }
}

/** Guards against messages that the order of service needs where nothing competes. */
for (const entries of [8, 67]) {
  test(`contention: ${entries} entries at 0.4 of the capacity, no more messages than in a service that is not ranked`, async t => {
    const [ordered, basic] = [replay('order', entries, 0.4), replay('basic', entries, 0.4)]
    t.equal(ordered.all.asked, basic.all.asked)
    t.ok(ordered.messages <= basic.messages, `${ordered.messages} and ${basic.messages}`)
  })
}
