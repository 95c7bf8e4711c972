/** Brings up a deployment, rolls out weights under load, takes a zone out and back, and prints what happened. */
import { readFileSync } from 'node:fs'
import { answersSchema, type Answers } from '../src/types/answers.js'
import { waitUntil } from '../src/utils/clock.js'
import { startDeployment, type RunningDeployment } from './deployment.js'
import { answerPercentile, countFailures, judge, lastWorkAfter } from './judge.js'
import { endAll, type ManagedProcess } from './process.js'
import { Load } from './load.js'
import { Operator, waitForReplicas } from './operator.js'
import { printTable } from './table.js'

const layouts = {
  'khakhi-patrak': { entries: 9, counts: { citations: 6, ledger: 3, portal: 1 }, service: 'citations', zone: 'rajkot' },
  lakeshore: { entries: 9, counts: { assistant: 11, booking: 3, messaging: 1 }, service: 'assistant', zone: 'wisconsin' }
} as const
const weightBytes = 2 << 20
const chunkBytes = 1 << 16
/** A zone that was taken out must have no new work after this. */
const zoneMilliseconds = 3000
const calmMilliseconds = 4000
const seed = 1

type LayoutName = keyof typeof layouts

function chosenLayout (): LayoutName {
  const place = process.argv.indexOf('--deployment')
  const name = place < 0 ? 'khakhi-patrak' : process.argv[place + 1] ?? ''
  if (!Object.hasOwn(layouts, name)) throw new Error(`--deployment: must be one of ${Object.keys(layouts).join(', ')}, not "${name}"`)
  return name as LayoutName
}

async function main (): Promise<void> {
  const name = chosenLayout()
  const layout = layouts[name]
  const file = `answers/${name}.json`
  const answers = answersSchema.parse(JSON.parse(readFileSync(file, 'utf8')))
  const started = Date.now()
  const running = await startDeployment(answers, layout.entries, layout.counts, { sharedUpstreams: true, logLevel: 'error' })
  process.stdout.write(`${name}: ${running.instances.length} instances and ${running.processes.length} processes after ${Date.now() - started} ms\n`)
  try {
    await play(running, answers, file, layout)
  } finally {
    printMemory(running)
    running.end()
  }
}

async function play (running: RunningDeployment, answers: Answers, file: string, layout: typeof layouts[LayoutName]): Promise<void> {
  const operator = new Operator(running, answers)
  try {
    await playWith(operator, running, answers, file, layout)
  } finally {
    operator.end()
  }
}

async function playWith (operator: Operator, running: RunningDeployment, answers: Answers, file: string, layout: typeof layouts[LayoutName]): Promise<void> {
  await operator.applyAnswers(file)
  const first = await operator.rollOut(layout.service, '1', weightBytes, chunkBytes)
  const firstMilliseconds = await waitForReplicas(running, layout.service, first.manifest, first.acceptedAt)
  const load = new Load({
    seed,
    organisations: answers.organisations.map(({ name }) => name),
    services: answers.services,
    entries: running.instances.filter(({ listed }) => listed.role === 'entry').map(({ listen }) => listen),
    callers: 2,
    pauseMilliseconds: 200,
    tokens: 12,
    callMilliseconds: 10_000,
    resendShare: 0.3
  })
  load.start()
  const loadAt = Date.now()
  await waitUntil(Date.now() + calmMilliseconds)
  const second = await operator.rollOut(layout.service, '2', weightBytes, chunkBytes)
  const secondMilliseconds = await waitForReplicas(running, layout.service, second.manifest, second.acceptedAt)
  const outAt = await operator.moveZone('out', layout.zone)
  await waitUntil(Date.now() + calmMilliseconds)
  const inAt = await operator.moveZone('in', layout.zone)
  await waitUntil(Date.now() + calmMilliseconds)
  const sendings = await load.stop()
  const register = running.register()
  const verdict = judge(sendings, register, operator.nonIdempotent)
  const zone = new Set(running.instances.flatMap(({ listed, upstream }) => listed.dataCentre === layout.zone && upstream !== undefined ? [upstream.listen] : []))
  const lastWork = lastWorkAfter(register, zone, outAt, inAt)
  const back = lastWorkAfter(register, zone, inAt, Infinity)
  const replicas = Object.entries(layout.counts).find(([service]) => service === layout.service)?.[1] ?? 0
  const copies = ((await operator.originBytes()) / weightBytes / 2).toFixed(2)
  printTable([
    ['version 1 on all replicas', `${replicas} after ${firstMilliseconds} ms`],
    ['version 2 on all replicas, under load', `${replicas} after ${secondMilliseconds} ms`],
    ['drawn from the origin', `${copies} copies a version`],
    ['requests sent', verdict.sent],
    ['answered whole', verdict.whole],
    ['refused, not run', verdict.notRun],
    ['unknown', verdict.unknown],
    ['run, answer no longer kept', verdict.run],
    ['cut', verdict.cut],
    ['wrong answers (must be 0)', verdict.wrong],
    ['doubled (must be 0)', verdict.doubled],
    ['said not run, and ran (must be 0)', verdict.falseNotRun],
    ['overloads (must be 0)', verdict.overloads],
    [`zone ${layout.zone} out: last new work`, lastWork < 0 ? 'none' : `${lastWork} ms after the order`],
    ['99 in 100 whole answers, before the zone moved', `${answerPercentile(sendings, loadAt, second.acceptedAt)} ms`],
    ['99 in 100 whole answers, while it moved', `${answerPercentile(sendings, outAt, Infinity)} ms`],
    [`zone ${layout.zone} back: work again`, back < 0 ? 'no' : 'yes']
  ])
  for (const [failure, count] of countFailures(sendings).slice(0, 6)) process.stdout.write(`  ${count} x ${failure}\n`)
  const late = lastWork > zoneMilliseconds ? [`the zone took new work ${lastWork} ms after the order`] : []
  const broken = [...verdict.findings, ...late, ...(verdict.cut > 0 ? [`${verdict.cut} answers were cut`] : [])]
  for (const finding of broken.slice(0, 20)) process.stdout.write(`BROKEN ${finding}\n`)
  if (broken.length > 0) process.exitCode = 1
  process.stdout.write(broken.length === 0 ? 'every promise held\n' : `${broken.length} findings\n`)
}

function printMemory (running: RunningDeployment): void {
  for (const managed of running.processes) managed.readPeak()
  const mebibytes = (read: (managed: ManagedProcess) => number): number => Math.round(running.processes.reduce((sum, managed) => sum + read(managed), 0) / (1 << 20))
  const held = mebibytes(managed => managed.proportionalBytes)
  const peak = mebibytes(managed => managed.peakBytes)
  process.stdout.write(`memory of ${running.processes.length} processes: ${held} MiB held at the end; peak resident ${peak} MiB, with shared pages counted in each\n`)
}

try {
  await main()
} finally {
  endAll()
}
