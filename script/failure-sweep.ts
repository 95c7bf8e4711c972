/** Seeded sweep of failure scenarios: `failure-sweep.js --seed N [--count M] [--only FAULT[+FAULT],...] [--verbose]`. */
import { cac } from 'cac'
import { seededRandom } from '../src/utils/random.js'
import { faultNames } from './failure/catalogue.js'
import { runScenario, type ScenarioResult } from './failure/scenario.js'
import { endAll } from './process.js'

interface PlannedScenario { readonly names: readonly string[], readonly seed: number }

const maximumShownFindings = 4

/** Scenarios of a sweep: the named ones, or one or two faults picked by each seed. */
function planSweep (seed: number, count: number, only: string): readonly PlannedScenario[] {
  if (only !== '') return Array.from({ length: count }, (_, index) => only.split(',').map(names => ({ names: names.split('+'), seed: seed + index }))).flat()
  return Array.from({ length: count }, (_, index) => {
    const random = seededRandom((seed + index) * 7919)
    const pickFault = (): string => faultNames[Math.floor(random() * faultNames.length)] ?? ''
    const names = random() < 0.3 ? [pickFault()] : [pickFault(), pickFault()]
    return { names, seed: seed + index }
  })
}

function printResult ({ name, seed, summary, findings, recoveryMilliseconds, failureCounts }: ScenarioResult, verbose: boolean): void {
  const { sent, whole, notRun, unknown, run, cut, unreached, wrong, doubled, falseNotRun, staleNotRun, overloads } = summary
  const state = findings.length === 0 ? 'held  ' : 'BROKEN'
  process.stdout.write(`${state} ${name.padEnd(40)} seed ${seed}: sent ${sent}, whole ${whole}, not-run ${notRun}, unknown ${unknown}, run ${run}, cut ${cut + unreached}, wrong ${wrong}, doubled ${doubled}, false not-run ${falseNotRun}, stale not-run ${staleNotRun}, overloads ${overloads}; served again after ${recoveryMilliseconds} ms\n`)
  for (const finding of findings.slice(0, maximumShownFindings)) process.stdout.write(`       ${finding}\n`)
  if (staleNotRun > 0) process.stdout.write(`       stale not-run: ${[...new Set(summary.staleFailures)].join(', ')}\n`)
  if (findings.length > maximumShownFindings) process.stdout.write(`       and ${findings.length - maximumShownFindings} more\n`)
  if (findings.length > 0 || verbose) for (const [failure, number] of failureCounts.slice(0, maximumShownFindings)) process.stdout.write(`       ${number} x ${failure}\n`)
}

async function main (): Promise<void> {
  const program = cac('failure-sweep')
  program.option('--seed <number>', 'First seed', { default: 1 })
  program.option('--count <number>', 'Number of seeds', { default: 1 })
  program.option('--only <names>', `Faults, joined by + for one scenario and by , for several: ${faultNames.join(', ')}`, { default: '' })
  program.option('--verbose', 'Print the failures that callers were told, and the error output of the processes when a promise broke')
  program.help()
  const { options } = program.parse()
  if (options['help'] === true) return
  let broken = 0
  for (const { names, seed } of planSweep(Number(options['seed']), Number(options['count']), String(options['only']))) {
    const result = await runScenario(names, seed)
    const verbose = options['verbose'] === true
    printResult(result, verbose)
    if (result.findings.length > 0) broken += 1
    if (result.findings.length > 0 && verbose) process.stdout.write(`${result.processOutput}\n`)
  }
  process.stdout.write(`${broken} scenarios broke a promise\n`)
  process.exitCode = broken === 0 ? 0 : 1
}

try {
  await main()
} finally {
  endAll()
}
