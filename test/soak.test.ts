/** A short soak: overlapping series of faults on real processes. */
import { test } from 'tap'
import { runSeries } from '../script/failure/scenario.js'
import { planSoak } from '../script/failure/soak-plan.js'

const shortSize = { series: 2, faults: 2 }
const seeds = [1]

for (const seed of seeds) {
  test(`soak: seed ${seed} ends without findings`, async t => {
    const result = await runSeries(planSoak(seed, shortSize), seed)
    t.same(result.findings, [], result.findings.length === 0 ? 'no findings' : result.processOutput)
  })
}

test('soak: a seed determines the series of faults', async t => {
  t.same(planSoak(7, shortSize), planSoak(7, shortSize))
  t.not(planSoak(7, shortSize).flat().join(), planSoak(8, shortSize).flat().join())
})
