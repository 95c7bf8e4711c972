/** With a series of versions and an origin that is away or slow, engines serve for nearly as long as the links allow. */
import { test } from 'tap'
import { ExchangeReplay } from './fakes/exchange-replay.js'
import type { ExchangeOptions, ExchangeResult } from './fakes/exchange-options.js'
import { leastWithoutService, withoutService, type Series } from './fakes/version-series.js'

const chunks = { chunkCount: 48, chunkBytes: 49_152, originBytesPerSecond: 1_125_000, agentBytesPerSecond: 822_500, cutoffMilliseconds: 9700 } as const
const copyMilliseconds = chunks.chunkCount * chunks.chunkBytes / chunks.originBytesPerSecond * 1000
const sizes = [10] as const
const base = (agents: number): ExchangeOptions => ({ ...chunks, agentsPerDataCentre: agents / 2, dataCentres: 2, linkBytesPerSecond: 4_000_000 })
const play = (agents: number, options: Partial<ExchangeOptions>): ExchangeResult => new ExchangeReplay({ ...base(agents), ...options }).run(60_000)

const gaps: readonly (readonly number[])[] = [[0, 3000], [0, 500], [0, 5000], [0, 1500, 3000], [0, 500, 1000, 1500], [0, 3000, 6000, 9000, 12_000]]
const outages: readonly (readonly [number, number])[] = [[0, 6000], [1000, 7000], [2500, 8500], [4000, 10_000], [6000, 12_000]]
const slow: readonly (readonly [number, number, number])[] = [[0, 8000, 0.4], [2500, 8500, 0.3]]

for (const agents of sizes) {
  for (const named of gaps) {
    const cases: readonly Partial<ExchangeOptions>[] = [{}, ...outages.map(originAway => ({ originAway })), ...slow.map(originSlow => ({ originSlow }))]
    test(`origin loss: ${agents} agents, versions named at ${named.join(', ')} ms`, async t => {
      for (const faults of cases) {
        const series: Series = { named, copyMilliseconds, linkCopyMilliseconds: chunks.chunkCount * chunks.chunkBytes / chunks.agentBytesPerSecond * 1000, cutoffMilliseconds: chunks.cutoffMilliseconds, chunkCount: chunks.chunkCount, ...faults }
        const lost = withoutService(series, play(agents, { named, ...faults }).served)
        const least = leastWithoutService(series)
        t.ok(lost <= least + 300, `${JSON.stringify(faults)}: ${lost} ms without service, the links allow ${least} ms`)
      }
    })
  }
}
