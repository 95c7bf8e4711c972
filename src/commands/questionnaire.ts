/** Asks a new team the questions, one after another, and checks the answers. */
import { createInterface } from 'node:readline/promises'
import { checkAnswers } from '../core/configuration/check-answers.js'
import { FindingsError } from '../errors.js'
import type { Answers } from '../types/answers.js'

/** Asks one question; rejects when the input ends. */
export type Ask = (question: string) => Promise<string>

const yesOrNo = ['yes', 'no'] as const

/** Asks everything through `ask`; `tell` shows what is wrong with an answer before it is asked again. */
export async function askAnswers (ask: Ask, tell: (text: string) => void): Promise<Answers> {
  const questions = new Prompter(ask, tell)
  const deployment = await questions.name('Name of the deployment')
  const weighting = await questions.choice('What weighs more: time to replicas, or service while a data centre moves?', ['replicas', 'service'])
  const dataCentres = await questions.list('data centre', async () => ({ name: await questions.name('  Name'), region: await questions.name('  Region') }))
  const logDataCentre = await questions.choice('In which data centre does the platform\'s log run?', dataCentres.map(({ name }) => name))
  const whenIsolated = await questions.choice('What shall a node do that can confirm its configuration nowhere: refuse new work, or serve on?', ['refuse', 'serve'])
  const organisations = await questions.list('organisation', async () => ({ name: await questions.name('  Name'), size: await questions.choice('  Size', ['large', 'small']) }))
  const services = await questions.list('service', async () => await askService(questions))
  return checkAnswers({ deployment, weighting, whenIsolated, logDataCentre, dataCentres, organisations, services })
}

/** Asks at the terminal; questions go to standard error, so that the answers file can go to standard output. */
export async function askAtTerminal (): Promise<Answers> {
  const terminal = createInterface({ input: process.stdin, output: process.stderr, terminal: process.stdin.isTTY })
  const lines = terminal[Symbol.asyncIterator]()
  const ask: Ask = async question => {
    process.stderr.write(question)
    const line = await lines.next()
    if (line.done === true) throw new FindingsError([{ place: question.trim(), problem: 'got no answer: the input ended; nothing was written' }])
    return line.value
  }
  try {
    return await askAnswers(ask, text => { process.stderr.write(`${text}\n`) })
  } finally {
    terminal.close()
  }
}

async function askService (questions: Prompter): Promise<unknown> {
  const name = await questions.name('  Name')
  const kind = await questions.choice('  Model engines, or a plain service?', ['model', 'plain'])
  const special = kind === 'model'
    ? { kind, checksOrders: await questions.choice('  Do the engines refuse an order with an old fencing number?', yesOrNo) === 'yes' }
    : { kind, nonIdempotent: await questions.names('  Operations that may not be repeated, separated by commas (empty for none)') }
  const bearsCold = await questions.count('  Requests at once that an instance bears just after a cold start')
  const bearsWarm = await questions.count('  Requests at once that a warm instance bears at most')
  const firstByteMilliseconds = await questions.count('  Milliseconds to the first byte of a healthy answer')
  return { name, ...special, bearsCold, bearsWarm, firstByteMilliseconds }
}

class Prompter {
  constructor (private readonly ask: Ask, private readonly tell: (text: string) => void) {}

  async name (question: string): Promise<string> {
    return await this.askUntilValid(question, 'lower-case letters, digits and hyphens', answer => isName(answer) ? answer : undefined)
  }

  async names (question: string): Promise<readonly string[]> {
    return await this.askUntilValid(question, 'names of lower-case letters, digits and hyphens', answer => {
      const names = answer.split(',').map(part => part.trim()).filter(part => part !== '')
      return names.every(isName) ? names : undefined
    })
  }

  async count (question: string): Promise<number> {
    return await this.askUntilValid(question, 'a whole number above zero', answer => /^[1-9]\d{0,8}$/.test(answer) ? Number(answer) : undefined)
  }

  async choice<Choice extends string> (question: string, choices: readonly Choice[]): Promise<Choice> {
    return await this.askUntilValid(`${question} (${choices.join('/')})`, `one of ${choices.join(', ')}`, answer => choices.find(choice => choice === answer))
  }

  /** At least one item; asks after each whether there is another. */
  async list<Item> (kind: string, askItem: () => Promise<Item>): Promise<readonly Item[]> {
    const items: Item[] = []
    do {
      this.tell(`${kind} ${items.length + 1}`)
      items.push(await askItem())
    } while (await this.choice(`Another ${kind}?`, yesOrNo) === 'yes')
    return items
  }

  private async askUntilValid<Value> (question: string, expected: string, read: (answer: string) => Value | undefined): Promise<Value> {
    for (;;) {
      const value = read((await this.ask(`${question}: `)).trim())
      if (value !== undefined) return value
      this.tell(`  please answer with ${expected}`)
    }
  }
}

function isName (text: string): boolean {
  return /^[a-z0-9][a-z0-9-]{0,62}$/.test(text)
}
