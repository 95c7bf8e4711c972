/** A named version leaves its origin before that fails, and agents fetch the versions in the order that keeps engines serving. */
import { test } from 'tap'
import { ExchangeReplay } from './fakes/exchange-replay.js'
import type { ExchangeOptions, ExchangeResult } from './fakes/exchange-options.js'

const chunks = { chunkCount: 48, chunkBytes: 49_152, originBytesPerSecond: 1_125_000, agentBytesPerSecond: 822_500, cutoffMilliseconds: 9700 } as const
const copyMilliseconds = chunks.chunkCount * chunks.chunkBytes / chunks.originBytesPerSecond * 1000
const sizes = [10, 32, 100] as const
const base = (agents: number): ExchangeOptions => ({ ...chunks, agentsPerDataCentre: agents / 2, dataCentres: 2, linkBytesPerSecond: 4_000_000 })
const play = (agents: number, options: Partial<ExchangeOptions>): ExchangeResult => new ExchangeReplay({ ...base(agents), ...options }).run(60_000)

for (const agents of sizes) {
  test(`origin loss: ${agents} agents have the whole copy out within 1.1 transfer times`, async t => {
    const result = play(agents, { named: [0] })
    t.ok(result.outAt <= copyMilliseconds * 1.1, `out at ${Math.round(result.outAt)} ms of ${Math.round(copyMilliseconds)} ms, ${result.copiesFromOrigin.toFixed(2)} copies, complete at ${result.completeAt.join(', ')}`)
    t.ok(result.copiesFromOrigin <= 1.15, `${result.copiesFromOrigin.toFixed(2)} copies left the origin`)
    t.ok(result.manifestRequests <= 4, `${result.manifestRequests} manifests`)
  })

  test(`origin loss: ${agents} agents serve the version in time although the origin fails at 1.2 transfer times`, async t => {
    const result = play(agents, { named: [0], originAway: [copyMilliseconds * 1.2, 60_000] })
    const last = Math.max(...result.served.map(list => list.find(({ version }) => version === 2)?.at ?? Infinity))
    t.ok(last <= chunks.cutoffMilliseconds, `the last serves at ${last} ms`)
  })

  test(`origin loss: ${agents} agents take over the chunks of killed ones`, async t => {
    const killed = Array.from({ length: Math.ceil(agents / 10) }, (_, index) => [index * 7 % agents, 300] as const)
    const result = play(agents, { named: [0], killed })
    t.ok(result.outAt <= copyMilliseconds * 1.3, `out at ${Math.round(result.outAt)} ms, ${result.copiesFromOrigin.toFixed(2)} copies`)
    t.ok(result.copiesFromOrigin <= 1.3, `${result.copiesFromOrigin.toFixed(2)} copies left the origin`)
  })

  test(`origin loss: ${agents} agents ask an origin that is away seldom`, async t => {
    const result = play(agents, { named: [0], originAway: [1000, 7000] })
    const perSecond = (result.originRequests - result.copiesFromOrigin * chunks.chunkCount) / 6
    t.ok(perSecond <= 40 + agents, `${perSecond.toFixed(1)} requests a second that fail`)
    t.ok(result.completeAt[2] <= 7000 + copyMilliseconds * 1.5, `complete at ${result.completeAt.join(', ')} ms`)
  })
}
