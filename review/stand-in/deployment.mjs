/** A small deployment on loopback addresses: settings, processes started with the lines `run` of the deploy file, and a record of what happens. */
import { spawn } from 'node:child_process'
import { randomInt } from 'node:crypto'
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = fileURLToPath(new URL('../..', import.meta.url))

/** Exit statuses of a case. */
export const exitStatus = { held: 0, broken: 1, notRun: 2 }

/** Longest time of a case, milliseconds. */
const maximumMilliseconds = 115_000
/** Time after which the platform starts a process again that has ended, milliseconds. */
const restartMilliseconds = 500

/** Bounds of `khakhi-patrak`, as its sheet gives them. */
const bounds = {
  'seed-lag-s': 3, 'reuse-after-s': 2, 'stable-ms': 3000, 'ack-ms': 4000, 'catch-up-s': 4, 'drain-ms': 2000, 'grace-s': 8, 'loss-slack-ms': 200, 'config-apply-ms': 2000, 'revert-slack-ms': 250, 'outer-ms': 5000, 'revoke-everywhere': false, 'revoke-ms': 5000, 'retry-ratio': 0.2, 'retry-window-s': 10, 'retry-slack': 104, 'cold-factor': 1.5, 'cold-slack': 5, 'evacuate-ms': 5000, 'recovery-s': 12, 'event-delay-ms': 120, 'retry-after-s': 0, version_ms: 8000, version_all_ms: 0, ttl_max_s: 5
}

/** Resolves after some time, milliseconds. */
export function delay (milliseconds) {
  return new Promise(resolve => { setTimeout(resolve, milliseconds) })
}

/** Resolves with whether `check` became true before the time was over, milliseconds. */
export async function eventually (check, milliseconds) {
  const until = performance.now() + milliseconds
  while (performance.now() < until) {
    if (await check()) return true
    await delay(50)
  }
  return false
}

/** The line `run` of a role in the deploy file. */
function runLineOf (role) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8')
  const section = text.split(`[roles.${role}]`)[1] ?? ''
  return /run = "([^"]+)"/.exec(section)?.[1] ?? ''
}

/** One machine with its process. */
class Machine {
  child = undefined
  /** Whether the platform starts the process again when it ends. */
  isKept = true

  constructor (deployment, name, ip, role, settings) {
    Object.assign(this, { deployment, name, ip, role })
    this.path = join(deployment.folder, `${name}.json`)
    writeFileSync(this.path, JSON.stringify(settings))
  }

  start () {
    const [program, ...parameters] = runLineOf(this.role).split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program, parameters, { cwd: root, env: { PATH, HOME, LANG: LANG ?? 'C', POLLENDYKE_CONFIG: this.path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const output = bytes => { if (process.env.PROGRAM_LOG !== undefined) appendFileSync(process.env.PROGRAM_LOG, bytes.toString().replace(/^/gm, `${this.name} `)) }
    child.stdout.on('data', output)
    child.stderr.on('data', output)
    child.on('exit', (status, signal) => {
      this.deployment.record('process ended', { machine: this.name, status, signal })
      if (this.child === child && this.isKept && !this.deployment.isOver) setTimeout(() => { if (!this.deployment.isOver) this.start() }, restartMilliseconds)
    })
    this.child = child
    this.deployment.record('process started', { machine: this.name })
  }

  signal (name) {
    this.deployment.record('signal', { machine: this.name, signal: name })
    this.child?.kill(name)
  }
}

/** The machines and the record of one case. */
export class Deployment {
  machines = []
  closers = []
  isOver = false
  startedAt = performance.now()
  folder = mkdtempSync(join(tmpdir(), 'pollendyke-review-'))
  network = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`
  lastHost = 1

  /** `caseFolder` is where `record.txt` is written; `zones` maps zones to regions. */
  constructor (caseFolder, zones) {
    Object.assign(this, { zones, recordPath: join(caseFolder, 'record.txt') })
    writeFileSync(this.recordPath, '')
    this.hasTrouble = process.env.TROUBLE !== '0'
    setTimeout(() => { this.finish(exitStatus.notRun, 'the case took too long') }, maximumMilliseconds).unref()
    for (const name of ['SIGINT', 'SIGTERM']) process.on(name, () => { this.finish(exitStatus.notRun, 'the case was stopped') })
    process.on('uncaughtException', error => { this.finish(exitStatus.notRun, `the case failed: ${error.stack}`) })
    process.on('unhandledRejection', error => { this.finish(exitStatus.notRun, `the case failed: ${error.stack ?? error}`) })
    this.record('case started', { trouble: this.hasTrouble })
  }

  /** A loopback address that nothing of this case uses yet. */
  newIp () {
    this.lastHost += 1
    return `${this.network}.${this.lastHost}`
  }

  record (event, fields = {}) {
    const milliseconds = Math.round(performance.now() - this.startedAt)
    appendFileSync(this.recordPath, `${JSON.stringify({ ms: milliseconds, event, ...fields })}\n`)
  }

  /** Adds entries, each given by its zone; the first three are the seeds of all machines. */
  addEntries (zones, store) {
    const ips = zones.map(() => this.newIp())
    this.seeds = ips.slice(0, 3).map(ip => `${ip}:8000`)
    this.entries = zones.map((zone, index) => {
      const ip = ips[index]
      const settings = {
        ...this.commonSettings('edge', `edge-${zone}-${index}`, ip, zone, store),
        serves: ['edge', 'control', 'registry'],
        listen: { front: `${ip}:8005`, ready: `${ip}:8002`, control: `${ip}:8000`, directory: `${ip}:8009` },
        limits: { 'cpu-share': 0.675, cores: 1, 'memory-mb': 350, 'max-fds': 4100, 'link-mbps': 1000, 'disk-mb': 0 },
        entry: 'registry'
      }
      return this.addMachine(settings, 'entry')
    })
    return this.entries
  }

  /** Adds the agent beside an engine, on the engine's machine. */
  addAgent (engine, store) {
    const settings = {
      ...this.commonSettings('side', `side-${engine.zone}-${engine.id}`, engine.ip, engine.zone, store),
      serves: ['side'],
      listen: {},
      limits: { 'cpu-share': 0.81, cores: 1, 'memory-mb': 218, 'max-fds': 1494, 'link-mbps': 5.11, 'disk-mb': 0 },
      app: engine.address,
      service: engine.service
    }
    return this.addMachine(settings, 'agent')
  }

  addMachine (settings, role) {
    const machine = new Machine(this, settings['node-name'], settings.ip, role, settings)
    this.machines.push(machine)
    return machine
  }

  commonSettings (machineClass, name, ip, zone, store) {
    return {
      'node-name': name, role: `my-${machineClass}`, 'machine-class': machineClass, ip, zone, region: this.zones[zone], zones: this.zones, 'internal-ports': [7700, 7715], seeds: this.seeds, bootstrap: true, 'fault-counted': false, 'data-dir': null, discovery: 'platform', 'heartbeat-ms': 1200, contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'places', 'platform', 'chunks'], 'fault-tolerance': { machines: 2, zones: 1, regions: 0 }, bounds, platform: { address: store.address, form: 'log', 'writes-per-s': 400, 'reads-per-s': 2000, parts: 12, 'append-ms': 2, 'part-mb-per-s': 20, 'read-mb-per-s': 80, 'record-bytes': 262144, 'call-bytes': 2097152, keep_s: 300, 'part-mb': 200, 'ttl-min-ms': 1000 }
    }
  }

  startAll () {
    for (const machine of this.machines) machine.start()
  }

  /** Ends everything that the case started, and the case itself. */
  finish (status, reason) {
    if (this.isOver) return
    this.isOver = true
    for (const machine of this.machines) {
      machine.isKept = false
      machine.child?.kill('SIGCONT')
      machine.child?.kill('SIGKILL')
    }
    for (const close of this.closers) close()
    this.record('case ended', { status, reason })
    console.log(`${status === exitStatus.held ? 'held' : status === exitStatus.broken ? 'BROKEN' : 'not run'}: ${reason}`)
    rmSync(this.folder, { recursive: true, force: true })
    process.exit(status)
  }
}
