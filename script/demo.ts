/** Brings up a deployment, rolls out weights, serves callers, moves a zone, and prints what happened. */
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { answersSchema } from '../src/types/answers.js'
import { tokenAt } from '../stand-in/engine.js'
import { startDeployment, type RunningDeployment } from './deployment.js'
import { runCommand } from './launch.js'

const layouts = {
  'khakhi-patrak': { entries: 9, counts: { citations: 6, ledger: 3, portal: 1 }, service: 'citations', zone: 'rajkot' },
  lakeshore: { entries: 9, counts: { assistant: 11, booking: 3, messaging: 1 }, service: 'assistant', zone: 'wisconsin' }
} as const

async function main (): Promise<void> {
  const chosen = process.argv.includes('--deployment') ? process.argv[process.argv.indexOf('--deployment') + 1] : 'khakhi-patrak'
  if (chosen !== 'khakhi-patrak' && chosen !== 'lakeshore') throw new Error(`--deployment: must be khakhi-patrak or lakeshore, not "${chosen}"`)
  const layout = layouts[chosen]
  const file = `answers/${chosen}.json`
  const answers = answersSchema.parse(JSON.parse(readFileSync(file, 'utf8')))
  const running = await startDeployment(answers, layout.entries, layout.counts)
  try {
    await play(running, file, layout.service, answers.organisations.map(({ name }) => name), answers.dataCentres.map(({ name }) => name))
  } finally {
    running.end()
  }
}

async function play (running: RunningDeployment, file: string, service: string, organisations: readonly string[], dataCentres: readonly string[]): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'pollendyke-'))
  const generated = await runCommand(['generate', file])
  writeFileSync(join(folder, 'configuration.json'), generated.output)
  const log = `http://${running.log.listen}`
  process.stdout.write((await runCommand(['apply', join(folder, 'configuration.json'), '--log', log])).output)
  const made = await fetch(`http://${running.origin.control}/weights`, { method: 'POST', body: JSON.stringify({ model: 'badge', adapter: null, version: '1', totalBytes: 1 << 20, chunkBytes: 1 << 16 }) })
  const named = await made.json() as { digest: string }
  const intent = { id: 'first', service, model: 'badge', adapter: null, version: '1', manifest: named.digest, organisations, dataCentres, finishBy: Date.now() + 60_000 }
  writeFileSync(join(folder, 'intent.json'), JSON.stringify({ kind: 'intent', intent }))
  process.stdout.write((await runCommand(['apply', join(folder, 'intent.json'), '--log', log])).output)
  const entry = running.instances[0]
  if (entry === undefined) throw new Error('no entry was started')
  const started = Date.now()
  for (;;) {
    const status = await (await fetch(`http://${entry.listen}/status`)).json() as { upstreams: { service: string, weights: string }[] }
    const models = status.upstreams.filter(upstream => upstream.service === service)
    if (models.length > 0 && models.every(upstream => upstream.weights === named.digest)) break
    if (Date.now() > started + 60_000) throw new Error('the rollout did not finish')
    await new Promise(resolve => setTimeout(resolve, 100))
  }
  process.stdout.write(`replicas served after ${Date.now() - started} ms\n`)
  const answer = await fetch(`http://${entry.listen}/services/${service}/completions`, { method: 'POST', headers: { 'pollendyke-organisation': organisations[0] ?? '' }, body: JSON.stringify({ prompt: 'a hike', maximumTokens: 5 }) })
  const lines = (await answer.text()).trim().split('\n').map(line => JSON.parse(line) as { type: string, token?: string })
  const right = lines.slice(0, 5).every((line, index) => line.token === tokenAt(named.digest, 'a hike', index))
  process.stdout.write(`answer: ${lines.length} lines, whole and right: ${right && lines.at(-1)?.type === 'end'}\n`)
  if (!right) {
    process.stdout.write(`${JSON.stringify(lines)}\n`)
    process.exitCode = 1
  }
}

await main()
