/** Runs failure scenarios as tests: no promise may break. */
import { test } from 'tap'
import { runScenario } from './scenario.js'

/** Faults that come together, and the seed that draws their times and targets. */
export interface ScenarioCase { readonly names: readonly string[], readonly seed: number }

/** One test for each scenario, one at a time. */
export function testScenarios (cases: readonly ScenarioCase[]): void {
  for (const { names, seed } of cases) {
    test(`callers are told the truth through ${names.join(' and ')}`, async t => {
      const result = await runScenario(names, seed)
      t.same(result.findings, [], result.findings.length === 0 ? 'no promise broke' : result.processOutput)
    })
  }
}
