/** Measures: `npm run measure -- [--only NAME] [--seed N] [--json FILE] [words for the measurement]`. */
import { writeFileSync } from 'node:fs'
import { cac } from 'cac'
import { writeLogs } from '../src/utils/log.js'
import { measureConfiguration } from './measure/configuration.js'
import { measureRouting } from './measure/routing.js'
import { makePage } from './report/page.js'
import { tableText, type MeasureTable } from './measure/table.js'
import { measureSwap } from './measure/swap.js'
import { measureWeights } from './measure/weights.js'

/** A measurement; `words` choose among its trials. */
export type Measure = (seed: number, words: readonly string[]) => Promise<MeasureTable>

const measures: Readonly<Record<string, Measure>> = {
  configuration: measureConfiguration,
  routing: measureRouting,
  weights: measureWeights,
  swap: measureSwap
}

async function main (): Promise<void> {
  const program = cac('measure')
  program.option('--only <name>', `one of ${Object.keys(measures).join(', ')}`)
  program.option('--seed <number>', 'seed of every random choice', { default: 1 })
  program.option('--json <file>', 'also write the tables as JSON')
  program.option('--report <file>', 'also write a page with plots')
  program.help()
  const { args, options } = program.parse(process.argv)
  if (options['help'] === true) return
  const only = options['only'] as string | undefined
  if (only !== undefined && !Object.hasOwn(measures, only)) throw new Error(`--only: must be one of ${Object.keys(measures).join(', ')}`)
  const tables: MeasureTable[] = []
  for (const [name, measure] of Object.entries(measures)) {
    if (only !== undefined && name !== only) continue
    const table = await measure(Number(options['seed']), args.map(String))
    process.stdout.write(`${name}: ${tableText(table)}\n`)
    tables.push(table)
  }
  if (typeof options['report'] === 'string') writeFileSync(options['report'], await makePage(tables, `npm run measure -- ${process.argv.slice(2).join(' ')}`, new Date()))
  if (typeof options['json'] === 'string') writeFileSync(options['json'], `${JSON.stringify(tables, null, 2)}\n`)
}

writeLogs('error')
await main()
process.exit(0)
