/** Commands of the operators' tool `pollendyke`, with their flags and examples. */
import { writeFileSync } from 'node:fs'
import { cac, type CAC } from 'cac'
import { checkConfiguration, type FleetFormat } from '../commands/check-configuration.js'
import { readHeadState, runChange, readInstancesOrFail } from '../commands/change.js'
import { createIntent, readManifest } from '../commands/intent.js'
import { askAtTerminal } from '../commands/questionnaire.js'
import { checkAnswers, checkChange } from '../core/configuration/check-answers.js'
import { generateConfiguration } from '../core/configuration/generate.js'
import { planChange } from '../core/configuration/change-plan.js'
import { FindingsError } from '../errors.js'
import { readHistory } from '../queries/history.js'
import { findRequest, readStatus } from '../queries/nodes.js'
import type { FleetConfiguration } from '../types/fleet.js'
import { HttpLogClient } from '../transports/log-client.js'
import { waitUntil } from '../utils/clock.js'
import { checkLines, historyLines, planLines, print, statusLines } from './output.js'
import { exitCodes, readCheckedFile, readJsonFile, settingsFrom, UnreachableError } from './settings.js'

type Options = Readonly<Record<string, unknown>>

/** Time between two outputs of `status --watch`. */
const watchIntervalMilliseconds = 1000

/** Builds the program; `format` is that of the platform's fleet configuration. Each action resolves with its exit code, and rejects with a `FindingsError` on invalid input or an `UnreachableError`. */
export function buildProgram (format: FleetFormat): CAC {
  const program = cac('pollendyke')
  addAnswerCommands(program)
  addCheckCommand(program, format)
  addChangeCommands(program)
  addIntentCommands(program)
  addQueryCommands(program)
  program.help(sections => [...sections, { title: 'Settings', body: settingsHelp }, { title: 'Exit codes', body: exitCodesHelp }])
  return program
}

const settingsHelp = '  Each flag that names a place has a variable too: --log is POLLENDYKE_LOG, --instances is POLLENDYKE_INSTANCES,\n  --entry is POLLENDYKE_ENTRY, --origin is POLLENDYKE_ORIGIN, --store is POLLENDYKE_STORE, --author is POLLENDYKE_AUTHOR, --key is POLLENDYKE_KEY, --wait is POLLENDYKE_WAIT.'
const exitCodesHelp = [
  '  0  done',
  '  1  the change was refused, or lost a race',
  '  2  the input has findings; each is printed with its place',
  '  3  unreachable, or the outcome of a change is not known',
  '  4  the change was accepted, but is not in force on every node yet'
].join('\n')

function addAnswerCommands (program: CAC): void {
  program.command('questionnaire', 'Ask the questions of a new deployment, or check an answers file')
    .option('--answers <file>', 'Check this file in place of asking')
    .option('--out <file>', 'Write the answers here; standard output otherwise')
    .option('--json', 'Print JSON on one line')
    .example('pollendyke questionnaire --out answers.json')
    .example('pollendyke questionnaire --answers answers.json')
    .action(async (options: Options) => {
      const { answers: file, out } = options
      const answers = typeof file === 'string' ? readCheckedFile(file, checkAnswers) : await askAtTerminal()
      const text = options['json'] === true ? JSON.stringify(answers) : JSON.stringify(answers, null, 2)
      if (typeof out === 'string') writeFileSync(out, `${text}\n`)
      else process.stdout.write(`${text}\n`)
      return exitCodes.ok
    })
  program.command('generate <answers>', 'Make the whole configuration from an answers file')
    .example('pollendyke generate answers.json > configuration.json')
    .action((file: string) => {
      process.stdout.write(`${JSON.stringify(generateConfiguration(readCheckedFile(file, checkAnswers)), null, 2)}\n`)
      return exitCodes.ok
    })
  program.command('validate <file>', 'Check an answers file, a configuration or a change; prints every finding with its place')
    .option('--json', 'Print JSON')
    .example('pollendyke validate answers.json')
    .action((file: string, options: Options) => {
      readCheckedFile(file, value => isAnswers(value) ? checkAnswers(value) : checkChange(value))
      print(options['json'] === true, { findings: [] }, [`${file}: no findings`])
      return exitCodes.ok
    })
}

function addCheckCommand (program: CAC, format: FleetFormat): void {
  program.command('check <file>', 'Check a fleet configuration before it is sent: errors, entries that never match, contradicting limits, and what differs from the one in force')
    .option('--store <address>', 'Address of the platform\'s store, IP:PORT, to compare with the configuration in force')
    .option('--against <file>', 'Compare with this file instead')
    .option('--json', 'Print JSON')
    .example('pollendyke check fleet.json --store 10.0.0.7:8007')
    .action(async (file: string, options: Options) => {
      const decoded = format.decode(readJsonFile(file))
      const checked = checkConfiguration(decoded, await readFleetInForce(format, options))
      print(options['json'] === true, checked, checkLines(checked))
      return checked.findings.length === 0 ? exitCodes.ok : exitCodes.badInput
    })
}

/** The configuration to compare with; undefined for none. Throws a `FindingsError` if there should be one. */
async function readFleetInForce (format: FleetFormat, options: Options): Promise<FleetConfiguration | undefined> {
  const { against } = options
  const { store } = settingsFrom(['store'], typeof against === 'string' ? {} : options)
  if (typeof against === 'string' && options['store'] !== undefined) throw new FindingsError([{ place: '--against, --store', problem: 'only one of them can be compared with' }])
  if (typeof against === 'string') return comparable(format.decode(readJsonFile(against)).configuration, against)
  if (store === undefined) return undefined
  return comparable(await readFromStore(format, store), `the store at ${store}`)
}

function comparable (configuration: FleetConfiguration | undefined, place: string): FleetConfiguration {
  if (configuration === undefined) throw new FindingsError([{ place, problem: 'holds no configuration to compare with' }])
  return configuration
}

async function readFromStore (format: FleetFormat, store: string): Promise<FleetConfiguration | undefined> {
  try {
    return await format.readInForce(store)
  } catch (error) {
    throw new UnreachableError(`the store at ${store} cannot be read: ${(error as Error).message}`)
  }
}

function addChangeCommands (program: CAC): void {
  program.command('plan <file>', 'Show what a change or a configuration would change, before anything does')
    .option('--log <url>', 'Base URL of the log')
    .option('--instances <url>', 'Base URL of the instance list, to name the instances affected')
    .option('--json', 'Print JSON')
    .example('pollendyke plan configuration.json --log http://10.0.0.5:7000 --instances http://10.0.0.6:7000')
    .action(async (file: string, options: Options) => {
      const { log, instances } = settingsFrom(['log', 'instances'], options)
      const change = readCheckedFile(file, checkChange)
      const listed = instances === undefined ? [] : await readInstancesOrFail(instances)
      const plan = planChange(await readHeadState(new HttpLogClient(log), log), change, listed)
      print(options['json'] === true, plan, planLines(plan))
      return plan.findings.length === 0 ? exitCodes.ok : exitCodes.badInput
    })
  addChangeOptions(program.command('apply <file>', 'Append a change, or a whole configuration, to the log'))
    .example('pollendyke apply configuration.json --log http://10.0.0.5:7000 --instances http://10.0.0.6:7000')
    .action(async (file: string, options: Options) => {
      const change = readCheckedFile(file, checkChange)
      return await runChange(options, () => change)
    })
  addChangeOptions(program.command('zone <direction> <name>', 'Take a data centre out, or bring it back in'))
    .example('pollendyke zone out rajkot --log http://10.0.0.5:7000')
    .action(async (direction: string, name: unknown, options: Options) => {
      if (direction !== 'in' && direction !== 'out') throw new FindingsError([{ place: 'zone', problem: `the direction must be in or out, not "${direction}"` }])
      return await runChange(options, () => ({ kind: 'data-centre', dataCentre: String(name), state: direction }))
    })
}

function addIntentCommands (program: CAC): void {
  addChangeOptions(program.command('intent <id>', 'Roll weights out: which model serves which organisations, where, and by when'))
    .option('--manifest <source>', 'Manifest file, or the digest of a manifest that the origin holds')
    .option('--origin <url>', 'Base URL of the origin of weights')
    .option('--service <name>', 'Service whose engines load the weights')
    .option('--organisations <names>', 'Organisations, separated by commas, or all', { default: 'all' })
    .option('--data-centres <names>', 'Data centres, separated by commas, or all', { default: 'all' })
    .option('--finish-by <time>', 'ISO time, or minutes from now such as 15m', { default: '15m' })
    .example('pollendyke intent badges-7 --service citations --manifest badges-7.json --finish-by 2030-01-31T18:00:00Z --log http://10.0.0.5:7000')
    .action(async (id: unknown, options: Options) => {
      const { manifest: source, service } = options
      if (typeof source !== 'string' || typeof service !== 'string') throw new FindingsError(['manifest', 'service'].filter(flag => typeof options[flag] !== 'string').map(flag => ({ place: `--${flag}`, problem: 'is needed' })))
      const manifest = await readManifest(source, settingsFrom(['origin'], options).origin)
      const flags = { service, organisations: String(options['organisations']), dataCentres: String(options['dataCentres']), finishBy: String(options['finishBy']) }
      return await runChange(options, ({ configuration }) => createIntent(String(id), manifest, flags, configuration, Date.now()))
    })
  addChangeOptions(program.command('withdraw <id>', 'Withdraw a rollout intent'))
    .example('pollendyke withdraw badges-7 --log http://10.0.0.5:7000')
    .action(async (id: unknown, options: Options) => await runChange(options, () => ({ kind: 'withdraw', intent: String(id) })))
}

function addQueryCommands (program: CAC): void {
  addQueryOptions(program.command('status', 'Progress and load of every upstream, as an entry sees them'))
    .option('--watch', 'Print again every second')
    .example('pollendyke status --watch --instances http://10.0.0.6:7000')
    .action(async (options: Options) => {
      do {
        const status = await readStatus(await readEntryAddresses(options))
        if (status === undefined) throw new UnreachableError('no entry answered')
        print(options['json'] === true, status, statusLines(status))
        if (options['watch'] === true) await waitUntil(Date.now() + watchIntervalMilliseconds)
      } while (options['watch'] === true)
      return exitCodes.ok
    })
  program.command('history', 'The changes that the log still keeps, and what became of each')
    .option('--log <url>', 'Base URL of the log')
    .option('--json', 'Print JSON')
    .example('pollendyke history --log http://10.0.0.5:7000')
    .action(async (options: Options) => {
      const { log } = settingsFrom(['log'], options)
      const client = new HttpLogClient(log)
      await readHeadState(client, log)
      const lines = await readHistory(client)
      print(options['json'] === true, lines, historyLines(lines))
      return exitCodes.ok
    })
  addQueryOptions(program.command('explain <id>', 'What the entries remember of a request'))
    .example('pollendyke explain 0d5c3f6e-9b1a-4a53-8f5e-2f1f0e7c9a10 --instances http://10.0.0.6:7000')
    .action(async (id: unknown, options: Options) => {
      const answer = await findRequest(await readEntryAddresses(options), String(id))
      const lines = answer.found.map(({ entry, request }) => `${entry}: ${JSON.stringify(request, null, 2)}`)
      const silentLines = answer.silent.length === 0 ? [] : [`silent entries, which may know it: ${answer.silent.join(', ')}`]
      print(options['json'] === true, answer, lines.length === 0 ? ['no entry that answered remembers this request', ...silentLines] : [...lines, ...silentLines])
      if (answer.found.length > 0) return exitCodes.ok
      return answer.silent.length > 0 ? exitCodes.unknown : exitCodes.refused
    })
}

/** Addresses of the entries to query: the one of `--entry`, else those of the instance list. */
async function readEntryAddresses (options: Options): Promise<readonly string[]> {
  const { instances, entry } = settingsFrom(['instances', 'entry'], options)
  if (entry !== undefined) return [entry]
  if (instances === undefined) throw new FindingsError([{ place: '--instances (POLLENDYKE_INSTANCES) or --entry (POLLENDYKE_ENTRY)', problem: 'one of them is needed' }])
  return (await readInstancesOrFail(instances)).filter(({ role }) => role === 'entry').map(({ address }) => address)
}

function addChangeOptions (command: ReturnType<CAC['command']>): ReturnType<CAC['command']> {
  return command
    .option('--log <url>', 'Base URL of the log')
    .option('--instances <url>', 'Base URL of the instance list, to see the change come into force on every node')
    .option('--wait <seconds>', 'How long to watch it come into force (default 15)')
    .option('--key <file>', 'Private Ed25519 key in PEM that signs the change')
    .option('--author <name>', 'Name in the history; the user of this machine by default')
    .option('--json', 'Print JSON')
}

function addQueryOptions (command: ReturnType<CAC['command']>): ReturnType<CAC['command']> {
  return command
    .option('--instances <url>', 'Base URL of the instance list')
    .option('--entry <address>', 'HTTP address of one entry, IP:PORT')
    .option('--json', 'Print JSON')
}

/** Whether a file holds answers: a change has a `kind`, and a configuration an object as `deployment`. */
function isAnswers (value: unknown): boolean {
  return typeof value === 'object' && value !== null && !('kind' in value) && typeof (value as Readonly<Record<string, unknown>>)['deployment'] !== 'object'
}
