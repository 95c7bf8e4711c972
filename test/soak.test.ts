/** A short soak: overlapping series of faults on the real programs. */
import { test } from 'tap'
import { runSeries } from '../script/failure/scenario.js'
import { planSoak } from '../script/failure/soak-plan.js'

const shortSize = { series: 2, faults: 2 }
const seeds = [1]

for (const seed of seeds) {
  test(`soak: no promise breaks in seed ${seed}`, async t => {
    const result = await runSeries(planSoak(seed, shortSize), seed)
    t.same(result.findings, [], result.findings.length === 0 ? 'no promise broke' : result.processOutput)
  })
}

test('soak: a seed draws the same series again, another seed others', async t => {
  t.same(planSoak(7, shortSize), planSoak(7, shortSize))
  t.not(planSoak(7, shortSize).flat().join(), planSoak(8, shortSize).flat().join())
})
