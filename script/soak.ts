/** Soak: overlapping series of faults on real processes, determined by seeds: `soak.js --seed N [--count M] [--series S] [--faults F] [--entries E] [--upstreams U]`. */
import { cac } from 'cac'
import { runSeries } from './failure/scenario.js'
import { planSoak, defaultSize } from './failure/soak-plan.js'
import { defaultDeploymentSize, type DeploymentSize } from './failure/test-deployment.js'
import { endAll } from './process.js'

const maximumShownFindings = 6

async function main (): Promise<void> {
  const program = cac('soak')
  program.option('--seed <number>', 'First seed', { default: 1 })
  program.option('--count <number>', 'Number of seeds', { default: 1 })
  program.option('--series <number>', 'Series of faults that overlap', { default: defaultSize.series })
  program.option('--faults <number>', 'Faults of each series', { default: defaultSize.faults })
  program.option('--entries <number>', 'Entries', { default: defaultDeploymentSize.entries })
  program.option('--upstreams <number>', 'Upstreams of each of the two services, each with an agent', { default: defaultDeploymentSize.upstreams })
  program.help()
  const { options } = program.parse()
  if (options['help'] === true) return
  const first = Number(options['seed'])
  const size: DeploymentSize = { entries: Number(options['entries']), upstreams: Number(options['upstreams']) }
  let broken = 0
  for (let seed = first; seed < first + Number(options['count']); seed += 1) {
    const plan = planSoak(seed, { series: Number(options['series']), faults: Number(options['faults']) })
    const { summary, findings, recoveryMilliseconds, processOutput: tails } = await runSeries(plan, seed, size)
    const { sent, whole, notRun, unknown, cut, unreached } = summary
    process.stdout.write(`${findings.length === 0 ? 'held  ' : 'BROKEN'} seed ${seed}: sent ${sent}, whole ${whole}, not-run ${notRun}, unknown ${unknown}, cut ${cut + unreached}; served again after ${recoveryMilliseconds} ms; ${plan.map(names => names.join(' > ')).join(' | ')}\n`)
    for (const finding of findings.slice(0, maximumShownFindings)) process.stdout.write(`       ${finding}\n`)
    if (findings.length === 0) continue
    broken += 1
    process.stdout.write(`${tails}\n`)
  }
  process.stdout.write(`${broken} seeds broke a promise\n`)
  process.exitCode = broken === 0 ? 0 : 1
}

try {
  await main()
} finally {
  endAll()
}
