/** Runs failure scenarios as tests; each must end without findings. */
import { test } from 'tap'
import { runScenario } from './scenario.js'

/** Faults that are injected together, and the seed that determines their times and targets. */
export interface ScenarioCase { readonly names: readonly string[], readonly seed: number }

/** Registers one test for each scenario; they run one at a time. */
export function testScenarios (cases: readonly ScenarioCase[]): void {
  for (const { names, seed } of cases) {
    test(`callers are told the truth through ${names.join(' and ')}`, async t => {
      const result = await runScenario(names, seed)
      t.same(result.findings, [], result.findings.length === 0 ? 'no findings' : result.processOutput)
    })
  }
}
