/** Weights agents as processes beside a model server, with an entry that subscribes, names versions and records what is reported to it. */
import { spawn, spawnSync, type ChildProcess } from 'node:child_process'
import { closeSync, constants, mkdtempSync, openSync, rmSync, writeFileSync, writeSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { settingsVariable } from '../../platform/settings.js'
import { freshAddress } from '../../script/launch.js'
import { vouchedLoadOf } from '../../src/core/weights/load-trust.js'
import { DatagramSocket } from '../../src/transports/datagrams.js'
import type { VouchedLoad } from '../../src/types/fleet.js'
import type { NodeMessage } from '../../src/types/node-messages.js'
import { monotonicNow, sleepUntil } from '../../src/utils/clock.js'
import { model, ModelServer, OriginServer, type ModelServerOptions } from './model-server.js'

const program = fileURLToPath(new URL('../../platform/main.js', import.meta.url))
const service = 'engines'
const dataCentre = 'zone-a'
const subscriptionMilliseconds = 200

const running = new Set<ChildProcess>()
process.on('exit', () => { for (const child of running) child.kill('SIGKILL') })

/** One process of the agent. */
export class AgentProcess {
  /** Log lines in order. */
  readonly lines: string[] = []
  /** When the process had ended, milliseconds of the monotonic clock; undefined while it runs. */
  endedAt: number | undefined
  private readonly child: ChildProcess

  /** `output` is the file descriptor for logs; undefined to collect them here. */
  constructor (settingsFile: string, output: number | undefined) {
    this.child = spawn(process.execPath, [program], { stdio: ['ignore', output ?? 'pipe', 'inherit'], env: { ...process.env, [settingsVariable]: settingsFile } })
    running.add(this.child)
    let rest = ''
    this.child.stdout?.on('data', (part: Buffer) => {
      const lines = (rest + part.toString()).split('\n')
      rest = lines.pop() ?? ''
      this.lines.push(...lines)
    })
    this.child.once('exit', () => {
      this.endedAt = monotonicNow()
      running.delete(this.child)
    })
  }

  signal (signal: NodeJS.Signals): void {
    this.child.kill(signal)
  }
}

/** One model server with its agent. */
export class WeightsProcesses {
  readonly engine: ModelServer
  readonly agents: AgentProcess[] = []
  /** What entries got while the engine served wrong chunks: reports of it as open, and slots. */
  readonly wrongOffers = new Set<string>()
  private readonly folder = mkdtempSync(join(tmpdir(), 'pollendyke-weights-'))
  private readonly settingsFile = join(this.folder, 'agent.json')
  private readonly ip: string
  private readonly entryIp: string
  private readonly origin: OriginServer
  private readonly entry: DatagramSocket
  private named: { readonly version: number, readonly at: number } | undefined
  private isIntroduced = false
  /** The last load for which an agent vouched. */
  private vouched: VouchedLoad | undefined
  private slotRequests = 0
  private timer: NodeJS.Timeout | undefined
  private pipe: number | undefined

  constructor (private readonly options: ModelServerOptions) {
    const [ip = '', port = ''] = freshAddress().split(':')
    const [entryIp = ''] = freshAddress().split(':')
    this.ip = ip
    this.engine = new ModelServer(freshAddress(), options)
    this.origin = new OriginServer(freshAddress(), options.chunkCount)
    this.entry = new DatagramSocket(Number(port), message => { this.receive(message) })
    this.entryIp = entryIp
    writeFileSync(this.settingsFile, JSON.stringify({
      'machine-class': 'side',
      'node-name': 'agent-1',
      ip,
      zone: dataCentre,
      region: 'north',
      zones: { [dataCentre]: 'north' },
      'internal-ports': [Number(port)],
      seeds: [entryIp],
      platform: { address: freshAddress() },
      app: this.engine.address,
      service,
      limits: { 'link-mbps': 100 },
      bounds: { version_ms: 8000 }
    }))
  }

  /** Starts everything; resolves once the agent has introduced itself. `isLogRead`: whether somebody reads the agent's log. */
  async start (isLogRead: boolean): Promise<void> {
    await Promise.all([this.engine.listen(), this.origin.listen(), this.entry.open(this.entryIp)])
    this.timer = setInterval(() => { this.subscribe() }, subscriptionMilliseconds)
    this.startAgent(isLogRead)
    while (!this.isIntroduced) {
      if (this.agents[0]?.endedAt !== undefined) throw new Error(`the agent has ended: ${this.agents[0].lines.join('\n')}`)
      await sleepUntil(monotonicNow() + 20)
    }
  }

  /** Starts a process of the agent, beside those that run. */
  startAgent (isLogRead = true): AgentProcess {
    const agent = new AgentProcess(this.settingsFile, isLogRead ? undefined : this.openPipe())
    this.agents.push(agent)
    return agent
  }

  /** The agent's process that was started last. */
  get agent (): AgentProcess {
    const agent = this.agents.at(-1)
    if (agent === undefined) throw new Error('no agent was started')
    return agent
  }

  /** Names a version to the agent. */
  name (version: number): void {
    this.named = { version, at: monotonicNow() }
    this.subscribe()
  }

  stop (): void {
    clearInterval(this.timer)
    for (const agent of this.agents) agent.signal('SIGKILL')
    this.engine.close()
    this.origin.close()
    this.entry.close()
    if (this.pipe !== undefined) closeSync(this.pipe)
    rmSync(this.folder, { recursive: true, force: true })
  }

  /** Opens a pipe that nobody reads. */
  private openPipe (): number {
    const path = join(this.folder, 'log')
    spawnSync('mkfifo', [path])
    this.pipe = openSync(path, constants.O_RDWR | constants.O_NONBLOCK)
    return this.pipe
  }

  /** Fills the pipe of the log that nobody reads. */
  fillPipe (): void {
    if (this.pipe === undefined) throw new Error('the log is read')
    for (const bytes of [4096, 1]) {
      while (this.hasWritten(this.pipe, bytes));
    }
  }

  private hasWritten (file: number, bytes: number): boolean {
    try {
      return writeSync(file, Buffer.alloc(bytes, ' ')) > 0
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EAGAIN') throw error
      return false
    }
  }

  private subscribe (): void {
    const { named, ip } = this
    const weights = named === undefined ? [] : [{ model, version: named.version, ageMilliseconds: monotonicNow() - named.at }]
    const rollout = { configurationVersion: 7, ageMilliseconds: 0, models: [model], chunkCount: this.options.chunkCount, chunkBytes: 64, origin: { address: this.origin.address, bytesPerSecond: 1_000_000 }, isResumable: false }
    this.entry.send({ kind: 'subscription', dataCentre, service, weights, agents: [], rollout, vouched: this.vouched }, ip)
    this.slotRequests += 1
    this.entry.send({ kind: 'slot-request', number: this.slotRequests, limit: 8 }, ip)
  }

  private receive (message: NodeMessage): void {
    this.isIntroduced = true
    if (message.kind === 'load') this.vouched = vouchedLoadOf(message) ?? this.vouched
    const { loaded } = this.engine
    if (loaded === undefined || (loaded.wrong.length === 0 && loaded.otherVersion.length === 0)) return
    if (message.kind === 'load' && !message.isSwapping && message.version === loaded.version) this.wrongOffers.add(`report of version ${message.version} as open`)
    else if (message.kind === 'slot-reply' && message.isGranted) this.wrongOffers.add(`slot on version ${loaded.version}`)
  }
}
